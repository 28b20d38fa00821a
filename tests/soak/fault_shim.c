/* Makes system calls of a process fail.  Preloaded (LD_PRELOAD) into sidecar processes of tests only.
 *
 * FAULT_SHIM names a file that a test maps too, and may write to at any time.  The file holds the words of `enum
 * word`; `ControlWord` in shim.py lists them in the same order.  A word that ends in _CHANCE is a probability in
 * thousandths.  INJECTED counts the injected faults.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum word {
    WALL_OFFSET_NS,
    ACCEPT_ERROR, ACCEPT_CHANCE,
    SOCKET_ERROR, SOCKET_CHANCE,
    CONNECT_ERROR, CONNECT_CHANCE,
    LOG_ERROR, LOG_CHANCE,
    SHORT_CHANCE,
    INTERRUPT_CHANCE,
    INJECTED,
    WORDS
};

static _Atomic int64_t none[WORDS];
static _Atomic int64_t *words = none;
static __thread uint64_t state;

__attribute__((constructor)) static void map_words(void)
{
    const char *path = getenv("FAULT_SHIM");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, 4096, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED)
        words = mapped;
}

#define REAL(name) static __typeof__(name) *real; if (!real) real = dlsym(RTLD_NEXT, #name)

static int happens(enum word chance)
{
    int64_t thousandths = atomic_load(&words[chance]);
    if (thousandths <= 0)
        return 0;
    if (!state)
        state = (uint64_t)getpid() * 0x9e3779b97f4a7c15u + 1;
    state ^= state << 13; state ^= state >> 7; state ^= state << 17;
    if ((int64_t)(state % 1000) >= thousandths)
        return 0;
    atomic_fetch_add(&words[INJECTED], 1);
    return 1;
}

static int fails(enum word error, enum word chance)
{
    if (!happens(chance))
        return 0;
    errno = (int)atomic_load(&words[error]);
    return 1;
}

static int is_socket(int fd)
{
    struct stat found;
    return fstat(fd, &found) == 0 && S_ISSOCK(found.st_mode);
}

static size_t shortened(int fd, size_t count)
{
    if (count < 2 || atomic_load(&words[SHORT_CHANCE]) <= 0 || !is_socket(fd) || !happens(SHORT_CHANCE))
        return count;
    return 1 + state / 1000 % (count - 1);
}

int clock_gettime(clockid_t which, struct timespec *at)
{
    REAL(clock_gettime);
    int done = real(which, at);
    int64_t offset = atomic_load(&words[WALL_OFFSET_NS]);
    if (done == 0 && which == CLOCK_REALTIME && offset) {
        int64_t ns = at->tv_sec * 1000000000LL + at->tv_nsec + offset;
        at->tv_sec = ns / 1000000000LL;
        at->tv_nsec = ns % 1000000000LL;
    }
    return done;
}

int accept4(int fd, struct sockaddr *restrict peer, socklen_t *restrict length, int flags)
{
    REAL(accept4);
    return fails(ACCEPT_ERROR, ACCEPT_CHANCE) ? -1 : real(fd, peer, length, flags);
}

int accept(int fd, struct sockaddr *restrict peer, socklen_t *restrict length)
{
    REAL(accept);
    return fails(ACCEPT_ERROR, ACCEPT_CHANCE) ? -1 : real(fd, peer, length);
}

int socket(int domain, int type, int protocol)
{
    REAL(socket);
    return domain == AF_INET && fails(SOCKET_ERROR, SOCKET_CHANCE) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *peer, socklen_t length)
{
    REAL(connect);
    return peer->sa_family == AF_INET && fails(CONNECT_ERROR, CONNECT_CHANCE) ? -1 : real(fd, peer, length);
}

ssize_t write(int fd, const void *data, size_t count)
{
    REAL(write);
    if (fd == STDERR_FILENO && fails(LOG_ERROR, LOG_CHANCE))
        return -1;
    return real(fd, data, shortened(fd, count));
}

ssize_t send(int fd, const void *data, size_t count, int flags)
{
    REAL(send);
    return real(fd, data, shortened(fd, count), flags);
}

ssize_t read(int fd, void *data, size_t count)
{
    REAL(read);
    return real(fd, data, shortened(fd, count));
}

ssize_t recv(int fd, void *data, size_t count, int flags)
{
    REAL(recv);
    return real(fd, data, shortened(fd, count), flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    REAL(epoll_wait);
    if (happens(INTERRUPT_CHANCE)) { errno = EINTR; return -1; }
    return real(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask)
{
    REAL(epoll_pwait);
    if (happens(INTERRUPT_CHANCE)) { errno = EINTR; return -1; }
    return real(fd, events, most, timeout, mask);
}
