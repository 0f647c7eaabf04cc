#include "ragwortpin/config/diff.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <type_traits>

namespace ragwortpin {

namespace internal {

template<typename Object>
std::vector<Object> &listOf(configuration &value)
{
    std::vector<Object> *list{nullptr};
    visitObjects(value, [&list]<typename Listed>(object_kind, std::vector<Listed> &objects) {
        if constexpr (std::is_same_v<Listed, Object>) {
            list = &objects;
        }
    });
    return *list;
}

/** Compares two lists sorted by name. Calls onAdded and onChanged with the object after, and onRemoved with the object before. */
template<typename Object, typename OnAdded, typename OnChanged, typename OnRemoved>
void compareSortedLists(const std::vector<Object> &before,
                        const std::vector<Object> &after,
                        const OnAdded &onAdded,
                        const OnChanged &onChanged,
                        const OnRemoved &onRemoved)
{
    auto old = before.begin();
    auto current = after.begin();
    while (old != before.end() || current != after.end()) {
        if (old == before.end() || (current != after.end() && current->name < old->name)) {
            onAdded(*current++);
        } else if (current == after.end() || old->name < current->name) {
            onRemoved(*old++);
        } else {
            if (!(*old == *current)) {
                onChanged(*current);
            }
            ++old;
            ++current;
        }
    }
}

template<typename Object>
void applyToList(object_kind kind, std::vector<Object> &objects, const std::vector<Object> &upserts, const std::vector<object_ref> &removed)
{
    for (const auto &ref : removed) {
        if (ref.kind == kind) {
            std::erase_if(objects, [&ref](const Object &object) {
                return object.name == ref.name;
            });
        }
    }
    for (const auto &upsert : upserts) {
        const auto position = std::lower_bound(objects.begin(), objects.end(), upsert, [](const Object &left, const Object &right) {
            return left.name < right.name;
        });
        if (position != objects.end() && position->name == upsert.name) {
            *position = upsert;
        } else {
            objects.insert(position, upsert);
        }
    }
}

} // namespace internal

std::string_view toToken(change_kind kind) noexcept
{
    switch (kind) {
    case change_kind::Added:
        return "added";
    case change_kind::Changed:
        return "changed";
    case change_kind::Removed:
        break;
    }
    return "removed";
}

std::vector<object_change> diffConfigurations(const configuration &before, const configuration &after)
{
    std::vector<object_change> changes;
    visitObjectPairs(before, after, [&changes](object_kind kind, const auto &old, const auto &current) {
        const auto record = [&changes, kind](change_kind change) {
            return [&changes, kind, change](const auto &object) {
                changes.push_back({change, {kind, object.name}});
            };
        };
        internal::compareSortedLists(old, current, record(change_kind::Added), record(change_kind::Changed), record(change_kind::Removed));
    });
    return changes;
}

std::vector<object_ref> commonObjects(const std::vector<object_change> &left, const std::vector<object_change> &right)
{
    const auto refsOf = [](const std::vector<object_change> &changes) {
        std::vector<object_ref> refs;
        refs.reserve(changes.size());
        for (const auto &change : changes) {
            refs.push_back(change.object);
        }
        std::sort(refs.begin(), refs.end());
        return refs;
    };
    const auto leftRefs = refsOf(left);
    const auto rightRefs = refsOf(right);
    std::vector<object_ref> common;
    std::set_intersection(leftRefs.begin(), leftRefs.end(), rightRefs.begin(), rightRefs.end(), std::back_inserter(common));
    return common;
}

configuration_change makeChange(const configuration &before, const configuration &after)
{
    configuration_change change;
    change.baseRevision = before.revision;
    change.revision = after.revision;
    visitObjectPairs(
        before, after, [&change]<typename Object>(object_kind kind, const std::vector<Object> &old, const std::vector<Object> &current) {
            const auto upsert = [&change](const Object &object) {
                internal::listOf<Object>(change.objects).push_back(object);
            };
            const auto remove = [&change, kind](const Object &object) {
                change.removed.push_back({kind, object.name});
            };
            internal::compareSortedLists(old, current, upsert, upsert, remove);
        });
    return change;
}

std::optional<configuration> applyChange(const configuration &before, const configuration_change &change)
{
    if (change.baseRevision != before.revision || change.revision <= before.revision) {
        return std::nullopt;
    }
    auto after = applyObjects(before, change);
    after.revision = change.revision;
    return after;
}

configuration applyObjects(const configuration &before, const configuration_change &change)
{
    auto after = before;
    visitObjectPairs(after, change.objects, [&change](object_kind kind, auto &objects, const auto &upserts) {
        internal::applyToList(kind, objects, upserts, change.removed);
    });
    return after;
}

} // namespace ragwortpin
