// State of every request at one target. The table is the only place that
// decides whether a request may start and that reports `not_run`, so that a
// request runs at most once. Compare RIFL (SOSP 2015).
//
// Model: models/at_most_once.pml. Comments name the model's steps.
//
// Index
//   request_key      identifies a request by its flow and number
//   request_record   state and contents of a request
//   request_table    the aggregate; its functions are the only transitions
#pragma once

#include "base/failure.hpp"
#include "protocol/messages.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoon {

// ---- request_key --------------------------------------------------------

struct request_key
{
    flow_key flow = {};
    request_number number = {};
    auto operator<=>(request_key const&) const = default;
};

namespace detail {

struct request_key_hash
{
    std::size_t operator()(request_key const& key) const noexcept
    {
        return static_cast<std::size_t>(
            hash_pair(key.flow.value, key.number.value));
    }
};

}  // namespace detail

// ---- request_record -----------------------------------------------------

// Where replies about a request are sent: the source of its latest packet.
struct reply_path
{
    peer_address entry = {};
    peer_address caller = {};
    auto operator<=>(reply_path const&) const = default;
};

struct request_record
{
    service_id service = {};
    caller_id caller = {};
    bool is_idempotent = false;
    duration declared_time = {};  // by the caller; 0: none
    std::string path = {};
    std::string body = {};
    time_point arrived_at = {};
    std::optional<time_point> deadline = {};
    request_state state = request_state::queued;
    reason cause = reason::none;   // of not_run or unknown
    duration retry_after = {};     // with not_run
    run_id run = {};               // once started
    time_point started_at = {};    // once started
    time_point last_queried = {};  // by the caller
    reply_path reply_to = {};
    std::uint64_t requested_end = 0;  // bytes of the answer requested so far
    auto operator<=>(request_record const&) const = default;
};

// ---- request_table ------------------------------------------------------

class request_table
{
public:
    // Model step `accept`. Inserts a queued record. An existing record is left
    // unchanged in any state. Returns the record in the table.
    request_record const& accept(request_key key,
                                 request_record const& new_record);

    // Model step `start`: queued to running. Returns nullopt in any other
    // state, so that a refused or finished request can't run again.
    std::optional<request_record> start(request_key key, run_id run,
                                        time_point now);

    // Model step `refuse`: queued to not_run. The record stays in the table, so
    // that later copies of the request don't run. undo_start() does the same
    // for a running request that certainly had no effect. Both return nullopt
    // in other states.
    std::optional<request_record> refuse(request_key key, reason cause,
                                         duration retry_after);
    std::optional<request_record> undo_start(request_key key, reason cause,
                                             duration retry_after);

    // Model step `finish`: running to finished, or to unknown when the back
    // end's answer was lost. Both return nullopt in other states.
    std::optional<request_record> finish(request_key key);
    std::optional<request_record> mark_unknown(request_key key, reason cause);

    // Records the range of the answer that the caller requests and where to
    // send it.
    void record_query(request_key key, reply_path const& reply_to,
                      std::uint64_t requested_end, time_point now);

    request_record const* find(request_key key) const;
    void erase(request_key key);

    // Returns queued requests whose deadline has passed.
    std::vector<request_key> find_overdue(time_point now) const;

    // Returns settled requests that no caller has queried for `lifetime`.
    std::vector<request_key> find_abandoned(time_point now,
                                            duration lifetime) const;
    std::size_t size() const;

private:
    std::optional<request_record>
    transition(request_key key, request_state from, request_record const& to);

    std::unordered_map<request_key, request_record, detail::request_key_hash>
        records = {};
};

}  // namespace lagoon
