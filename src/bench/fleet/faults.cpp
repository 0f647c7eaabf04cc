#include "bench/fleet/faults.h"

#include <ostream>

namespace ragwortpin::fleet_bench {

namespace {

constexpr milliseconds TenthOfSecond{100};
constexpr std::uint64_t ForgedRevision{1'000'000};

} // namespace

void apply(fleet &nodes, const fleet_options &options, const fleet_fault &value)
{
    const auto span = value.tenths * TenthOfSecond;
    const auto index = value.subject % options.nodes;
    const auto zone = value.subject % options.zones;
    nodes.runFor(span);
    switch (value.kind) {
    case fleet_fault_kind::Wait:
        break;
    case fleet_fault_kind::Kill:
        nodes.kill(index);
        break;
    case fleet_fault_kind::Restart:
        nodes.restart(index);
        break;
    case fleet_fault_kind::Pause:
        nodes.pause(index, span);
        break;
    case fleet_fault_kind::Cut:
        nodes.cut({zone});
        break;
    case fleet_fault_kind::Heal:
        nodes.heal();
        break;
    case fleet_fault_kind::StoreDown:
        nodes.setStoreDown(true);
        break;
    case fleet_fault_kind::StoreUp:
        nodes.setStoreDown(false);
        break;
    case fleet_fault_kind::Publish:
        nodes.publish();
        break;
    case fleet_fault_kind::Drain:
        nodes.setState(index, instance_state::Draining);
        break;
    case fleet_fault_kind::Ready:
        nodes.setState(index, instance_state::Ready);
        break;
    case fleet_fault_kind::FalseRevisionClaim:
        nodes.sendFalseRevisionClaim(index, ForgedRevision);
        break;
    }
}

void repair(fleet &nodes)
{
    nodes.heal();
    nodes.setStoreDown(false);
    nodes.setLoss(0.0);
    for (const auto &node : nodes.nodes()) {
        if (!node.isUp) {
            nodes.restart(node.index);
        }
    }
}

std::ostream &operator<<(std::ostream &out, const fleet_fault &value)
{
    return out << "{kind " << static_cast<unsigned>(value.kind) << ", subject " << static_cast<unsigned>(value.subject) << ", tenths "
               << static_cast<unsigned>(value.tenths) << '}';
}

} // namespace ragwortpin::fleet_bench
