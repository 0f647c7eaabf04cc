#include "bench/rights/scenarios.h"

namespace ragwortpin::bench {

const std::vector<rights_scenario> &rightsScenarios()
{
    static const std::vector<rights_scenario> scenarios{
        {"skew", measureSkew},
        {"faults", measureFaults},
        {"lapse", measureLapse},
        {"size", measureDesignSize},
        {"cost", measureCost},
    };
    return scenarios;
}

} // namespace ragwortpin::bench
