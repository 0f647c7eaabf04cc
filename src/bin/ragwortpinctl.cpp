#include "ragwortpin/identity/digest.h"
#include "ragwortpin/operators/commands.h"
#include "ragwortpin/store/client.h"

#include <cerrno>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace ragwortpin;

namespace {

file_content readFile(const std::string &path)
{
    errno = 0;
    std::ifstream input{path, std::ios::binary};
    file_content content;
    if (input) {
        content.text.assign(std::istreambuf_iterator<char>{input}, {});
    }
    if (!input.is_open() || input.bad()) {
        content.error = {errno == 0 ? EIO : errno, std::system_category()};
    }
    return content;
}

std::string userName()
{
    const auto *name = std::getenv("USER");
    return name == nullptr ? "unknown" : name;
}

int run(const std::vector<std::string> &arguments)
{
    const auto parsed = parseCommandLine(arguments);
    if (!parsed.value) {
        std::cerr << "ragwortpinctl: " << parsed.problem << "\n";
        return static_cast<int>(exit_code::Usage);
    }
    const command_environment environment{
        .output = std::cout,
        .errors = std::cerr,
        .readFile = readFile,
        .connect =
            [](const std::vector<endpoint> &endpoints, duration timeout) {
                return makeStoreCall({endpoints, timeout});
            },
        .queryNodes = queryNodes,
        .randomHex = randomHex,
        .wallClock = wallClockNow,
        .userName = userName(),
    };
    return static_cast<int>(runCommand(*parsed.value, environment));
}

} // namespace

int main(int argc, char *argv[])
{
    try {
        return run({argv + 1, argv + argc});
    } catch (const std::exception &error) {
        std::cerr << "ragwortpinctl: " << error.what() << "\n";
        return static_cast<int>(exit_code::Rejected);
    }
}
