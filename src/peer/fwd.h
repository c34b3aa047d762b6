// Forward declarations of the peer module: calls between proxies.
#pragma once

namespace cardamomstep::peer {

struct Failure;
struct Ping;
struct Handlers;
struct Credentials;
struct GroupObservation;
class Client;
class Server;

} // namespace cardamomstep::peer
