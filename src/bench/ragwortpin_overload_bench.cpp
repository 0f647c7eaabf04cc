#include "bench/overload/world.h"
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
using namespace ragwortpin;
using namespace ragwortpin::bench;
int main(int argc, char **argv)
{
    std::string what = argc > 1 ? argv[1] : "goodput";
    int only = argc > 2 ? atoi(argv[2]) : -1;
    for (auto place : {khelachitra(), confettiCove(), deepChain()}) {
        std::vector<std::vector<std::size_t>> chains;
        if (place.name == "khelachitra")
            chains = {{0, 2, 3}, {0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3, 0, 1}};
        else if (place.name == "confetti-cove")
            chains = {{0, 2, 3}, {0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3, 0, 1}};
        else
            chains = {{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}};
        for (auto &chain : chains)
            for (double load : {0.8, 1.0, 2.0, 5.0, 10.0}) {
                for (auto p : AllPolicies) {
                    if (only >= 0 && (int)p != only)
                        continue;
                    scenario s;
                    s.place = place;
                    s.policy = p;
                    s.chain = chain;
                    s.tenants = usualTenants(load);
                    s.length = seconds{chain.size() > 3 ? 20 : 10};
                    s.warmUp = seconds{chain.size() > 3 ? 5 : 2};
                    s.clientTimeout = milliseconds{chain.size() > 3 ? 2000 : 1000};
                    auto t0 = std::chrono::steady_clock::now();
                    auto r = run(s);
                    double cap = capacityOf(place, chain);
                    double el = std::chrono::duration<double>(std::chrono::steady_clock::now() - t0).count();
                    printf("%s d%zu load %.1f %-12s cap %.0f goodput %.3f rank0 %.4f r1 %.3f r2 %.3f r3 %.3f waste %.4f (%.1fs)\n",
                           place.name.c_str(),
                           chain.size(),
                           load,
                           toString(p),
                           cap,
                           r.total.finished / r.measuredSeconds / cap,
                           double(r.byRank[0].answered) / r.byRank[0].arrived,
                           double(r.byRank[1].answered) / r.byRank[1].arrived,
                           double(r.byRank[2].answered) / r.byRank[2].arrived,
                           double(r.byRank[3].answered) / r.byRank[3].arrived,
                           r.wastedWork / (r.usefulWork + r.wastedWork),
                           el);
                    fflush(stdout);
                }
            }
    }
}
