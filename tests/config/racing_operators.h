#ifndef RAGWORTPIN_TESTS_CONFIG_RACING_OPERATORS_H
#define RAGWORTPIN_TESTS_CONFIG_RACING_OPERATORS_H

#include "config/fake_store.h"

#include "ragwortpin/store/error.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace ragwortpin::testing {

/** Fault injected into one call. */
enum class call_fault : unsigned char {
    None,
    /** The request is not sent. */
    Unreachable,
    /** The request is sent and lost: it has no effect and no answer. */
    Dropped,
    /** The request takes effect and its answer is lost. */
    AnswerLost,
    /** The request times out and takes effect at a later step. */
    Delayed,
};

/**
 * Runs operators concurrently in a reproducible order. Every operator has its own thread, and each of its calls waits until the
 * scheduler grants it, so that only one call is performed at a time. The seed alone determines the order of calls, their faults
 * and the steps at which delayed calls take effect.
 */
class racing_operators
{
public:
    using operator_function = std::function<void(const store_call &)>;

    /** Injects faults into the given fraction of calls. */
    racing_operators(fake_store &store, std::uint64_t seed, double faultFraction)
        : m_store{store}
        , m_random{seed}
        , m_faultFraction{faultFraction}
    { }

    /**
     * Runs all operators until they finish, then performs the remaining delayed calls. Calls afterStep after each step that may
     * have changed the store.
     */
    void run(const std::vector<operator_function> &operators, const std::function<void()> &afterStep)
    {
        m_states.assign(operators.size(), state::Running);
        std::vector<std::thread> threads;
        threads.reserve(operators.size());
        for (std::size_t index{0}; index < operators.size(); ++index) {
            threads.emplace_back([this, index, &operators] {
                operators[index]([this, index](const store_request &request) {
                    return callWhenGranted(index, request);
                });
                markFinished(index);
            });
        }
        while (grantNextCall()) {
            performDelayed(0.2);
            afterStep();
        }
        for (auto &thread : threads) {
            thread.join();
        }
        performDelayed(1.0);
        afterStep();
    }

private:
    enum class state : unsigned char {
        Running,
        Waiting,
        Granted,
        Finished,
    };

    store_reply callWhenGranted(std::size_t index, const store_request &request)
    {
        std::unique_lock lock{m_mutex};
        m_states[index] = state::Waiting;
        m_changed.notify_all();
        m_changed.wait(lock, [this, index] {
            return m_states[index] == state::Granted;
        });
        m_states[index] = state::Running;
        auto reply = performWithFault(request);
        return reply;
    }

    void markFinished(std::size_t index)
    {
        const std::lock_guard lock{m_mutex};
        m_states[index] = state::Finished;
        m_changed.notify_all();
    }

    /** Once every operator is waiting or finished, grants the call of a random waiting one. Returns false if all are finished. */
    bool grantNextCall()
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait(lock, [this] {
            return areAllBlockedOrFinished();
        });
        std::vector<std::size_t> waiting;
        for (std::size_t index{0}; index < m_states.size(); ++index) {
            if (m_states[index] == state::Waiting) {
                waiting.push_back(index);
            }
        }
        if (waiting.empty()) {
            return false;
        }
        m_states[waiting[m_random() % waiting.size()]] = state::Granted;
        m_changed.notify_all();
        m_changed.wait(lock, [this] {
            return areAllBlockedOrFinished();
        });
        return true;
    }

    bool areAllBlockedOrFinished() const
    {
        for (const auto current : m_states) {
            if (current == state::Running || current == state::Granted) {
                return false;
            }
        }
        return true;
    }

    bool randomlyOccurs(double probability)
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_random) < probability;
    }

    store_reply performWithFault(const store_request &request)
    {
        const auto fault = randomlyOccurs(m_faultFraction) ? static_cast<call_fault>(1 + m_random() % 4) : call_fault::None;
        store_reply reply;
        switch (fault) {
        case call_fault::None:
            return m_store.perform(request);
        case call_fault::Unreachable:
            reply.error = store_errc::Unreachable;
            return reply;
        case call_fault::Dropped:
            reply.error = store_errc::TimedOut;
            return reply;
        case call_fault::AnswerLost:
            static_cast<void>(m_store.perform(request));
            reply.error = store_errc::AnswerLost;
            return reply;
        case call_fault::Delayed:
            break;
        }
        m_delayed.push_back(request);
        reply.error = store_errc::TimedOut;
        return reply;
    }

    void performDelayed(double probability)
    {
        const std::lock_guard lock{m_mutex};
        for (auto item = m_delayed.begin(); item != m_delayed.end();) {
            if (randomlyOccurs(probability)) {
                static_cast<void>(m_store.perform(*item));
                item = m_delayed.erase(item);
            } else {
                ++item;
            }
        }
    }

    fake_store &m_store;
    std::mt19937_64 m_random;
    double m_faultFraction;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<state> m_states;
    std::vector<store_request> m_delayed;
};

} // namespace ragwortpin::testing

#endif
