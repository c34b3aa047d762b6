// The program: picks the subcommand.
#include "app/proxycommand.h"

#include <iostream>
#include <string_view>

int main(int argc, char **argv)
{
    if (argc >= 2 && std::string_view(argv[1]) == "proxy") {
        return cardamomstep::runProxyCommand(argc - 1, argv + 1, std::cout, std::cerr);
    }
    std::cerr << "usage: cardamomstep proxy --settings FILE\n";
    return 2;
}
