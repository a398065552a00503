// The store as the entries reach it: each by an address of its own, behind
// which it can be down, silent, slow or stale, or refuse just this one.
//
// Index
//   stored_documents   the concept: a store and its calls
//   store_front        what each caller gets
#pragma once

#include "base/random.hpp"
#include "loop/http.hpp"
#include "plan.hpp"

#include <concepts>
#include <map>
#include <optional>

namespace lagoon::soak {

// ---- stored_documents ---------------------------------------------------

template <class S>
concept stored_documents = std::copyable<S> &&
    requires(S store, http_request request, typename S::read_call call,
             bool may_wait)
{
    {
        S::parse(request)
        } -> std::same_as<std::optional<typename S::read_call>>;
    {
        store.answer(call, may_wait)
        } -> std::same_as<std::optional<http_reply>>;
    store.forget_history();
};

// ---- store_front --------------------------------------------------------

// What becomes of a call now.
enum class call_fate : std::uint8_t
{
    waits,  // for a change
    answered,
    ignored,
    broken_off
};

struct call_outcome
{
    call_fate fate = call_fate::waits;
    http_reply reply = {};
    duration delay = {};
    auto operator<=>(call_outcome const&) const = default;
};

template <stored_documents Store> class store_front
{
public:
    explicit store_front(std::uint64_t seed) : random(seed) {}

    Store documents = {};

    static bool is_of_store(fault_kind kind)
    {
        return kind >= fault_kind::store_down &&
               kind <= fault_kind::store_forgets;
    }

    // `what.machine` is the one that is refused, where just one is.
    void begin(fault const& what, time_point now)
    {
        if (what.kind == fault_kind::store_forgets) {
            this->documents.forget_history();
            return;
        }
        if (what.kind == fault_kind::store_stale)
            this->stale = this->documents;
        this->active.push_back({what, now + what.span});
    }

    call_outcome answer(http_request const& request, std::size_t entry,
                        time_point asked, time_point now)
    {
        auto const call = Store::parse(request);
        if (!call)
            return {call_fate::answered, {404, "text/plain", "", 0}, {}};
        std::erase_if(this->active, [now](active_fault const& one) {
            return one.until <= now;
        });
        Store const* from = &this->documents;
        duration delay{};
        for (active_fault const& one : this->active) {
            if (one.what.kind == fault_kind::store_refuses &&
                one.what.machine != entry)
                continue;
            if (one.what.kind == fault_kind::store_stale)
                from = &this->stale;
            else if (one.what.kind == fault_kind::store_slow)
                delay = duration{static_cast<std::int64_t>(
                    random_index(this->random, longest_delay))};
            else
                return this->refusal(one.what);
        }
        std::optional<http_reply> const reply =
            from->answer(*call, now < asked + call->wait);
        if (!reply)
            return {};
        return {call_fate::answered, *reply, delay};
    }

private:
    static constexpr std::size_t longest_delay = 1'500'000;  // microseconds

    struct active_fault
    {
        fault what = {};
        time_point until = {};
        auto operator<=>(active_fault const&) const = default;
    };

    // One that is refused is so in one way for as long as it lasts.
    call_outcome refusal(fault const& what) const
    {
        constexpr std::uint32_t too_many = 429;
        constexpr std::uint32_t unavailable = 503;
        auto const way = static_cast<unsigned>(what.share * 1000) % 4;
        bool const picks = what.kind == fault_kind::store_refuses;
        if (what.kind == fault_kind::store_silent || (picks && way == 0))
            return {call_fate::ignored, {}, {}};
        if (what.kind == fault_kind::store_breaks || (picks && way == 1))
            return {call_fate::broken_off, {}, {}};
        return {
            call_fate::answered,
            {picks && way == 2 ? too_many : unavailable, "text/plain", "", 0},
            {}};
    }

    seeded_random random;
    Store stale = {};
    std::vector<active_fault> active = {};
};

}  // namespace lagoon::soak
