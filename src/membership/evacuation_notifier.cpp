#include "membership/evacuation_notifier.hpp"

#include <algorithm>
#include <iterator>

namespace lagoon {

namespace {

// Returns the elements of `from` that `without` doesn't contain; both sorted.
std::vector<std::string> subtract(std::vector<std::string> const& from,
                                  std::vector<std::string> const& without)
{
    std::vector<std::string> rest;
    std::set_difference(from.begin(), from.end(), without.begin(),
                        without.end(), std::back_inserter(rest));
    return rest;
}

}  // namespace

bool is_notifier(process_id self, std::vector<known_peer> const& peers,
                 target_id target)
{
    std::uint64_t const own = hash_pair(self.value, target.value);
    std::size_t rank = 0;
    for (known_peer const& peer : peers) {
        bool const is_ahead = peer.id != process_id{} && peer.id != self &&
                              hash_pair(peer.id.value, target.value) > own;
        rank += is_ahead ? 1 : 0;
        if (rank >= notifiers_per_target)
            return false;
    }
    return true;
}

evacuation_notifier::evacuation_notifier(process_id self) : self(self) {}

evacuation_difference evacuation_notifier::update(catalog const& current)
{
    std::vector<std::string> const& next = current.evacuations().data_centres;
    evacuation_difference difference{subtract(next, this->data_centres),
                                     subtract(this->data_centres, next)};
    if (next != this->data_centres)
        this->next_notice_at = {};
    this->data_centres = next;
    return difference;
}

std::vector<addressed_notice>
evacuation_notifier::tick(catalog const& current,
                          std::map<service_id, service_part> const& services,
                          std::vector<known_peer> const& peers, time_point now)
{
    std::vector<addressed_notice> notices;
    if (this->data_centres.empty() || now < this->next_notice_at)
        return notices;
    this->next_notice_at = now + notice_interval;
    for (auto const& [id, part] : services)
        for (target_record const& target : part.targets)
            if (current.is_evacuated(target.data_centre) &&
                is_notifier(this->self, peers, target.id))
                notices.push_back(
                    {target.address, {id, current.version().number}});
    return notices;
}

}  // namespace lagoon
