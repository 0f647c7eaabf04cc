#include "ragwortpin/node/daemon.h"

#include <string>
#include <vector>

int main(int argc, char **argv)
{
    return ragwortpin::runDaemon("ragwortpin-node", std::vector<std::string>{argv + 1, argv + argc});
}
