#pragma once

#include <cerrno>
#include <sys/socket.h>

namespace snipeweir {

/// @return Whether an idle connection is open and has received nothing; bytes would belong to no request.
inline bool isOpenAndEmpty(int socket)
{
    char byte = 0;
    const auto count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}
