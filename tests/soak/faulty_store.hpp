// The store with injected faults. Each entry reaches it at an address of its
// own, so that a fault can affect all entries or just one.
//
// Index
//   document_store   concept of a store and its calls
//   faulty_store     answers calls under the active faults
#pragma once

#include "base/random.hpp"
#include "catalog/published.hpp"
#include "loop/http.hpp"
#include "plan.hpp"

#include <concepts>
#include <functional>
#include <map>
#include <optional>

namespace lagoon::soak {

// ---- document_store -----------------------------------------------------

template <class S>
concept document_store = std::copyable<S> &&
    requires(S store, http_request request, typename S::read_call call,
             published_target const& target, bool may_wait)
{
    {
        S::parse(request)
        } -> std::same_as<std::optional<typename S::read_call>>;
    {
        store.answer(call, may_wait)
        } -> std::same_as<std::optional<http_reply>>;
    store.forget_history();
    store.revert_to(store);
    store.put_evacuation(std::string{});
    store.remove_evacuation(std::string{});
    store.put_odd_target(S::odd_kinds - 1, target);
};

// ---- faulty_store -------------------------------------------------------

enum class call_status : std::uint8_t
{
    pending,  // waits for a change of the document
    answered,
    ignored,  // stays open without an answer
    aborted   // its connection is closed without an answer
};

struct call_outcome
{
    call_status status = call_status::pending;
    http_reply reply = {};
    duration delay = {};
    auto operator<=>(call_outcome const&) const = default;
};

template <document_store Store> class faulty_store
{
public:
    using store_write = std::function<void(Store&)>;

    explicit faulty_store(std::uint64_t seed) : random(seed) {}

    // All writes of the operator and the back ends, so that those that the
    // store loses can be written again.
    void write(store_write const& action)
    {
        action(this->documents);
        if (this->older_copy)
            this->lost_writes.push_back(action);
    }

    // Returns false if a copy is kept already.
    bool keep_copy()
    {
        if (this->older_copy)
            return false;
        this->older_copy = this->documents;
        return true;
    }

    // Returns to the copy, in a later era.
    void revert_to_copy()
    {
        this->documents.revert_to(*this->older_copy);
    }

    // Repeats all writes since the copy was kept, in their order.
    void write_lost()
    {
        for (store_write const& action : this->lost_writes)
            action(this->documents);
        this->lost_writes.clear();
        this->older_copy.reset();
    }

    static bool is_store_fault(fault_kind kind)
    {
        return kind >= fault_kind::store_down &&
               kind <= fault_kind::store_forgets;
    }

    // For store_refuses, `spec.machine` is the entry that is affected.
    void start_fault(fault const& spec, time_point now)
    {
        if (spec.kind == fault_kind::store_forgets) {
            this->documents.forget_history();
            return;
        }
        if (spec.kind == fault_kind::store_stale)
            this->stale = this->documents;
        this->active.push_back({spec, now + spec.span});
    }

    call_outcome answer(http_request const& request, std::size_t entry,
                        time_point received_at, time_point now)
    {
        auto const call = Store::parse(request);
        if (!call)
            return {call_status::answered, {404, "text/plain", "", 0}, {}};
        std::erase_if(this->active, [now](active_fault const& one) {
            return one.until <= now;
        });
        Store const* from = &this->documents;
        duration delay{};
        for (active_fault const& one : this->active) {
            if (one.spec.kind == fault_kind::store_refuses &&
                one.spec.machine != entry)
                continue;
            if (one.spec.kind == fault_kind::store_stale)
                from = &this->stale;
            else if (one.spec.kind == fault_kind::store_slow)
                delay = duration{static_cast<std::int64_t>(
                    random_index(this->random, max_delay_us))};
            else
                return this->make_failure(one.spec);
        }
        std::optional<http_reply> const reply =
            from->answer(*call, now < received_at + call->wait);
        if (!reply)
            return {};
        return {call_status::answered, *reply, delay};
    }

private:
    static constexpr std::size_t max_delay_us = 1'500'000;

    struct active_fault
    {
        fault spec = {};
        time_point until = {};
        auto operator<=>(active_fault const&) const = default;
    };

    // A store_refuses fault fails all its calls in one way: no answer, abort,
    // status 429 or status 503, depending on its share.
    call_outcome make_failure(fault const& spec) const
    {
        constexpr std::uint32_t too_many = 429;
        constexpr std::uint32_t unavailable = 503;
        auto const failure_mode = static_cast<unsigned>(spec.share * 1000) % 4;
        bool const is_refusal = spec.kind == fault_kind::store_refuses;
        if (spec.kind == fault_kind::store_silent ||
            (is_refusal && failure_mode == 0))
            return {call_status::ignored, {}, {}};
        if (spec.kind == fault_kind::store_breaks ||
            (is_refusal && failure_mode == 1))
            return {call_status::aborted, {}, {}};
        return {call_status::answered,
                {is_refusal && failure_mode == 2 ? too_many : unavailable,
                 "text/plain", "", 0},
                {}};
    }

    seeded_random random;
    Store documents = {};
    std::optional<Store> older_copy = {};
    std::vector<store_write> lost_writes = {};  // since the copy
    Store stale = {};
    std::vector<active_fault> active = {};
};

}  // namespace lagoon::soak
