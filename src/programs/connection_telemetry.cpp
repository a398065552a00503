#include "programs/connection_telemetry.hpp"

namespace lagoon {

char const* to_text(placement_result value)
{
    switch (value) {
    case placement_result::placed:
        return "placed";
    case placement_result::refused:
        return "refused";
    case placement_result::no_route:
        return "no_route";
    case placement_result::held:
        return "held";
    case placement_result::outdated:
        return "outdated";
    case placement_result::dropped:
        return "dropped";
    case placement_result::owner_found:
        return "owner_found";
    case placement_result::owner_lost:
        return "owner_lost";
    case placement_result::lost:
        return "lost";
    case placement_result::returned:
        return "returned_by_target";
    }
    return "?";
}

char const* to_text(tracking_result value)
{
    switch (value) {
    case tracking_result::admitted:
        return "admitted";
    case tracking_result::queued:
        return "queued";
    case tracking_result::dequeued:
        return "dequeued";
    case tracking_result::refused:
        return "refused";
    case tracking_result::request:
        return "request";
    case tracking_result::answered:
        return "answered";
    case tracking_result::unanswered:
        return "unanswered";
    case tracking_result::returned:
        return "returned_by_back_end";
    case tracking_result::gone:
        return "gone";
    case tracking_result::adopted:
        return "adopted";
    case tracking_result::unwell:
        return "unwell";
    case tracking_result::well:
        return "well";
    case tracking_result::evacuated:
        return "refused_outdated_entry";
    case tracking_result::table_full:
        return "table_full";
    }
    return "?";
}

char const* to_text(status_change value)
{
    switch (value) {
    case status_change::platform_lost:
        return "platform_lost";
    case status_change::platform_regained:
        return "platform_regained";
    case status_change::paused:
        return "paused";
    case status_change::target_lapsed:
        return "target_lapsed";
    case status_change::table_full:
        return "table_full";
    case status_change::evacuation_begun:
        return "evacuation_begun";
    case status_change::evacuation_ended:
        return "evacuation_ended";
    case status_change::home_has_room:
        return "home_has_room";
    case status_change::home_full:
        return "home_full";
    case status_change::home_empty:
        return "home_empty";
    }
    return "?";
}

char const* to_text(placement_site value)
{
    switch (value) {
    case placement_site::not_chosen:
        return "not_chosen";
    case placement_site::home:
        return "home";
    case placement_site::home_busy:
        return "elsewhere_home_busy";
    case placement_site::home_full:
        return "elsewhere_home_full";
    case placement_site::home_empty:
        return "elsewhere_home_empty";
    }
    return "?";
}

namespace {

std::string format_connection(connection_endpoints const& endpoints)
{
    return to_text(endpoints.caller) + "-" + to_text(endpoints.service);
}

template <class Result, std::size_t Size>
std::vector<labelled_count>
name_counts(std::array<std::uint64_t, Size> const& counts)
{
    std::vector<labelled_count> named;
    for (std::size_t i = 0; i < Size; ++i)
        named.push_back({to_text(static_cast<Result>(i)), counts[i]});
    return named;
}

}  // namespace

// ---- connection_metrics -------------------------------------------------

void connection_metrics::record(placement_note const& note)
{
    ++this->placement_counts[static_cast<std::size_t>(note.result)];
    if (note.result != placement_result::placed)
        return;
    this->placing_time.add(note.took);
    ++this->site_counts[static_cast<std::size_t>(note.site)];
}

void connection_metrics::record(tracking_note const& note)
{
    ++this->tracking_counts[static_cast<std::size_t>(note.result)];
    if (note.result == tracking_result::dequeued)
        this->waiting_time.add(note.elapsed);
    if (note.result == tracking_result::answered)
        this->running_time.add(note.elapsed);
}

void connection_metrics::record(status_change_note const& note)
{
    ++this->status_change_counts[static_cast<std::size_t>(note.change)];
}

void connection_metrics::record(report_failure const&)
{
    ++this->failure_count;
}

exposition_writer connection_metrics::make_exposition() const
{
    exposition_writer metrics;
    metrics
        .add_counters("lagoon_placements_total", "result",
                      name_counts<placement_result>(this->placement_counts))
        .add_counters("lagoon_placement_sites_total", "site",
                      name_counts<placement_site>(this->site_counts))
        .add_counters("lagoon_connections_total", "result",
                      name_counts<tracking_result>(this->tracking_counts))
        .add_counters("lagoon_status_changes_total", "change",
                      name_counts<status_change>(this->status_change_counts))
        .add_counters("lagoon_failures_total", "kind",
                      {{"all", this->failure_count}})
        .add_histogram("lagoon_placing_seconds", this->placing_time)
        .add_histogram("lagoon_waiting_seconds", this->waiting_time)
        .add_histogram("lagoon_running_seconds", this->running_time);
    return metrics;
}

// ---- write_log_line -----------------------------------------------------

void write_log_line(component_log const& log, placement_note const& note)
{
    log_line line{to_text(note.result)};
    line.with("connection", format_connection(note.endpoints))
        .with("took_ms", note.took)
        .with("generation", note.config_generation.value)
        .with("platform_age_ms", note.platform_age);
    if (note.target != peer_address{})
        line.with("target", note.target).with("load", note.load);
    if (note.site != placement_site::not_chosen)
        line.with("site", to_text(note.site));
    if (note.query_count > 0)
        line.with("asked", note.query_count).with("silent", note.timeout_count);
    log.write(line);
}

void write_log_line(component_log const& log, tracking_note const& note,
                    std::string_view request_id)
{
    log_line line{to_text(note.result)};
    line.with("connection", format_connection(note.endpoints))
        .with("load", note.load)
        .with("slots", note.slots)
        .with("took_ms", note.elapsed);
    if (note.retransmission_count > 0)
        line.with("copy", note.retransmission_count);
    if (note.entry != peer_address{})
        line.with("entry", note.entry);
    if (!request_id.empty())
        line.with("request", request_id);
    log.write(line);
}

void write_log_line(component_log const& log, status_change_note const& note)
{
    log_line line{to_text(note.change)};
    if (!note.subject.empty())
        line.with("subject", note.subject);
    line.with("age_ms", note.platform_age);
    log.write(line);
}

void write_log_line(component_log const& log, report_failure const& note)
{
    log.write(log_line{"failure"}
                  .with("step", to_text(note.error.failed_step))
                  .with("reason", to_text(note.error.cause))
                  .with("peer", note.error.peer)
                  .with("detail", note.error.detail));
}

}  // namespace lagoon
