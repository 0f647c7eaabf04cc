#include "bench/rights/scenarios.h"

namespace ragwortpin::bench {

const std::vector<rights_scenario> &rightsScenarios()
{
    static const std::vector<rights_scenario> scenarios{
        {"skew", measureSkew},
    };
    return scenarios;
}

} // namespace ragwortpin::bench
