// Forward declarations of the http module: plain messages, a server and a client connection.
#pragma once

namespace cardamomstep::http {

struct Request;
struct Response;
struct ServerOptions;
class Server;
class Connection;

} // namespace cardamomstep::http
