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

/** What befalls one call. */
enum class call_fault : unsigned char {
    None,
    /** No byte is sent. */
    Unreachable,
    /** Sent, no effect, no answer. */
    Dropped,
    /** Takes effect, the answer is lost. */
    AnswerLost,
    /** No answer; takes effect at some later step. */
    Delayed,
};

/**
 * Runs operators in threads of which exactly one runs at a time: each of their calls waits until the scheduler grants it.
 * The order of calls, their faults and the steps at which delayed calls take effect follow from the seed alone.
 */
class racing_operators
{
public:
    using operator_function = std::function<void(const store_call &)>;

    /** Faults befall the given fraction of calls. */
    racing_operators(fake_store &store, std::uint64_t seed, double faultFraction)
        : m_store{store}
        , m_random{seed}
        , m_faultFraction{faultFraction}
    { }

    /** Runs all operators to their end, calling afterStep after each effect on the store; then lets delayed calls take effect. */
    void run(const std::vector<operator_function> &operators, const std::function<void()> &afterStep)
    {
        m_states.assign(operators.size(), state::Running);
        std::vector<std::thread> threads;
        threads.reserve(operators.size());
        for (std::size_t index{0}; index < operators.size(); ++index) {
            threads.emplace_back([this, index, &operators] {
                operators[index]([this, index](const store_request &request) {
                    return callInTurn(index, request);
                });
                leave(index);
            });
        }
        while (grantOne()) {
            applyDelayed(0.2);
            afterStep();
        }
        for (auto &thread : threads) {
            thread.join();
        }
        applyDelayed(1.0);
        afterStep();
    }

private:
    enum class state : unsigned char {
        Running,
        Waiting,
        Granted,
        Finished,
    };

    store_reply callInTurn(std::size_t index, const store_request &request)
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

    void leave(std::size_t index)
    {
        const std::lock_guard lock{m_mutex};
        m_states[index] = state::Finished;
        m_changed.notify_all();
    }

    /** Grants one waiting operator its call once all are waiting or finished; false when all are finished. */
    bool grantOne()
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait(lock, [this] {
            return isQuiet();
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
            return isQuiet();
        });
        return true;
    }

    bool isQuiet() const
    {
        for (const auto current : m_states) {
            if (current == state::Running || current == state::Granted) {
                return false;
            }
        }
        return true;
    }

    bool happens(double probability)
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_random) < probability;
    }

    store_reply performWithFault(const store_request &request)
    {
        const auto fault = happens(m_faultFraction) ? static_cast<call_fault>(1 + m_random() % 4) : call_fault::None;
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

    void applyDelayed(double probability)
    {
        const std::lock_guard lock{m_mutex};
        for (auto item = m_delayed.begin(); item != m_delayed.end();) {
            if (happens(probability)) {
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
