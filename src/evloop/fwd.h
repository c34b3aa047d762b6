// Forward declarations of the event loop module: sockets, HTTP and time for single-threaded processes.
#pragma once

namespace cardamomstep::evloop {

class LineConnection;
class HttpClient;
class HttpServer;

} // namespace cardamomstep::evloop
