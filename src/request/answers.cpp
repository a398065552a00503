#include "request/answers.hpp"

namespace lagoon {

answer_store::answer_store(std::size_t max_bytes) : max_bytes(max_bytes) {}

void answer_store::append(request_key key, std::string_view bytes)
{
    this->answers[key].bytes.append(bytes);
    this->total_bytes += bytes.size();
}

void answer_store::finalise(request_key key)
{
    stored_answer& answer = this->answers[key];
    answer.content = digest{hash_bytes(answer.bytes)};
}

std::string answer_store::slice(request_key key, std::uint64_t offset) const
{
    auto const found = this->answers.find(key);
    if (found == this->answers.end() || offset >= found->second.bytes.size())
        return {};
    return found->second.bytes.substr(offset, segment_size);
}

std::uint64_t answer_store::length(request_key key) const
{
    auto const found = this->answers.find(key);
    return found == this->answers.end() ? 0 : found->second.bytes.size();
}

answer_summary answer_store::summarise(request_key key) const
{
    auto const found = this->answers.find(key);
    if (found == this->answers.end())
        return {};
    return {found->second.bytes.size(), found->second.content};
}

void answer_store::discard(request_key key)
{
    auto const found = this->answers.find(key);
    if (found == this->answers.end())
        return;
    this->total_bytes -= found->second.bytes.size();
    this->answers.erase(found);
}

bool answer_store::is_full() const
{
    return this->total_bytes >= this->max_bytes;
}

}  // namespace lagoon
