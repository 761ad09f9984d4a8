/* Preloaded into a gateway: makes system calls fail for moments, as Linux documents that they may.
 *
 * SOAK_SHIM holds "seed=N,part=P,every=MS,lasts=MS,step=S": in the first `lasts` milliseconds of each `every`, a part P
 * (in thousandths) of the calls fails. `step` is added to the wall clock, in seconds, and never to the monotonic one.
 * Without the variable nothing is changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static uint64_t state;
static long part, every, lasts, step;

static long number_of(const char *text, const char *name) {
    const char *found = strstr(text, name);
    return found ? atol(found + strlen(name)) : 0;
}

__attribute__((constructor)) static void begin(void) {
    const char *text = getenv("SOAK_SHIM");
    if (!text) return;
    state = 0x9E3779B97F4A7C15ull * (uint64_t)(number_of(text, "seed=") + 1);
    part = number_of(text, "part=");
    every = number_of(text, "every=");
    lasts = number_of(text, "lasts=");
    step = number_of(text, "step=");
}

static uint32_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (uint32_t)(state >> 32);
}

/* True for the part of the calls that are to fail now. */
static int fails(void) {
    struct timespec now;
    if (!part || !every) return 0;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    long millis = now.tv_sec * 1000 + now.tv_nsec / 1000000;
    return millis % every < lasts && draw() % 1000 < (uint32_t)part;
}

static int fail_with(const int *errors, int many) {
    errno = errors[draw() % (uint32_t)many];
    return -1;
}

static int is_stream(int descriptor) {
    int type = 0;
    socklen_t size = sizeof type;
    struct sockaddr_storage name;
    socklen_t length = sizeof name;
    if (getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &size) || type != SOCK_STREAM) return 0;
    return !getsockname(descriptor, (struct sockaddr *)&name, &length) && name.ss_family == AF_INET;
}

#define REAL(name) static __typeof__(name) *real; if (!real) real = dlsym(RTLD_NEXT, #name)

int socket(int domain, int type, int protocol) {
    REAL(socket);
    static const int errors[] = {ENFILE, ENOBUFS};
    if (domain == AF_INET && fails()) return fail_with(errors, 2);
    return real(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    if (address->sa_family == AF_INET && fails()) return fail_with(errors, 3);
    return real(descriptor, address, size);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, ENETUNREACH};
    if (fails()) return fail_with(errors, 4);
    return real(descriptor, address, size, flags);
}

int epoll_pwait(int epoll, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    if (timeout != 0 && fails()) { errno = EINTR; return -1; }
    return real(epoll, events, most, timeout, mask);
}

ssize_t read(int descriptor, void *buffer, size_t size) {
    REAL(read);
    if (size > 1 && fails() && is_stream(descriptor)) size = 1 + draw() % (size < 64 ? size : 64);
    return real(descriptor, buffer, size);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags) {
    REAL(recv);
    if (size > 1 && fails() && is_stream(descriptor)) size = 1 + draw() % (size < 64 ? size : 64);
    return real(descriptor, buffer, size, flags);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    REAL(write);
    struct stat status;
    if (size > 1 && descriptor > 2 && fails()) {
        if (is_stream(descriptor)) size = 1 + draw() % size;
        else if (!fstat(descriptor, &status) && S_ISREG(status.st_mode)) { errno = ENOSPC; return -1; }
    }
    return real(descriptor, buffer, size);
}

ssize_t writev(int descriptor, const struct iovec *pieces, int many) {
    REAL(writev);
    if (many > 1 && fails() && is_stream(descriptor)) many = 1;
    return real(descriptor, pieces, many);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = (int)syscall(SYS_clock_gettime, clock, now);
    if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) now->tv_sec += step;
    return result;
}

time_t time(time_t *where) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (where) *where = now.tv_sec;
    return now.tv_sec;
}
