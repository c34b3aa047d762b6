// Forward declarations of the event loop slice: sockets, HTTP and time of a process with one thread.
#pragma once

namespace cardamomstep::evloop {

class LineConnection;
class HttpClient;
class HttpServer;

} // namespace cardamomstep::evloop
