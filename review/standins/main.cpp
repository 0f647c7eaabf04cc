// Runs one case: review-case NAME FOLDER. TROUBLE=0 leaves the disruption out. Exit codes: 0 rule held, 1 rule broken, 2 not run.
#include "cases.h"

#include <signal.h>
#include <sys/stat.h>

#include <filesystem>
#include <iostream>
#include <map>
#include <random>

namespace {

constexpr int NotRun{2};
/** Ends a case that hangs. Below the 120 s that a script may take. */
constexpr unsigned LongestRunSeconds{110};

/** Three parts of loopback addresses on which the ports of a machine are free. */
std::string findFreeNet()
{
    std::mt19937 random{std::random_device{}()};
    for (int attempt{0}; attempt < 50; ++attempt) {
        const auto net = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        bool isFree{true};
        for (int host{1}; host <= 9 && isFree; ++host) {
            for (const int port : {7000, 7003, 8540, 8543, 8545, 8546, 8547, 8548}) {
                const auto local = review::address{net + std::to_string(host), static_cast<std::uint16_t>(port)}.socketAddress();
                const int descriptor{socket(AF_INET, SOCK_STREAM, 0)};
                isFree = isFree && bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0;
                close(descriptor);
            }
        }
        if (isFree) {
            return net;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

} // namespace

int main(int argc, char **argv)
{
    using case_function = int (*)(const review::setting &, review::record &);
    const std::map<std::string, case_function> cases{{"reused-address", review::reusedAddress},
                                                     {"foreign-heartbeat", review::foreignHeartbeat},
                                                     {"queued-drain", review::queuedDrain},
                                                     {"public-after-term", review::publicAfterTerm},
                                                     {"endless-answer", review::endlessAnswer}};
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review-case NAME FOLDER, in the root of the repository\n";
        return NotRun;
    }
    signal(SIGPIPE, SIG_IGN);
    alarm(LongestRunSeconds);
    signal(SIGALRM, [](int) {
        _exit(NotRun);
    });
    std::string folder{"/tmp/review-XXXXXX"};
    if (mkdtemp(folder.data()) == nullptr) {
        return NotRun;
    }
    review::record log{std::string{argv[2]} + "/record.txt"};
    const char *trouble{std::getenv("TROUBLE")};
    const review::setting setting{folder, trouble == nullptr || std::string{trouble} != "0", findFreeNet()};
    log.line(std::string{argv[1]} + (setting.trouble ? ", with the disruption" : ", without the disruption"));
    int code{NotRun};
    try {
        code = found->second(setting, log);
    } catch (const std::exception &error) {
        log.line(std::string{"the case could not run: "} + error.what());
    }
    log.line(code == 0 ? "RULE HELD" : code == 1 ? "RULE BROKEN" : "NOT RUN");
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::cerr << folder << '\n';
    }
    // Threads of silent connections do not end by themselves.
    _exit(code);
}
