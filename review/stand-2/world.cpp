#include "world.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace review {

namespace {

// Offsets of the header's fields; see the platform's page on its protocol.
constexpr std::size_t length_at = 0;
constexpr std::size_t sum_at = 6;
constexpr std::size_t flags_at = 10;
constexpr std::size_t pad_at = 11;
constexpr std::size_t source_port_at = 12;
constexpr std::size_t source_ip_at = 14;
constexpr std::size_t destination_ip_at = 18;
constexpr std::size_t destination_port_at = 22;
constexpr std::size_t sequence_at = 24;
constexpr std::size_t acknowledgement_at = 28;

constexpr double first_retransmission = 0.2;
constexpr double longest_retransmission = 1.6;
constexpr double acknowledgement_delay = 0.02;
constexpr int most_endpoint_retries = 8;
constexpr std::uint32_t most_in_flight = 16;  // packets

void put(std::string& bytes, std::size_t at, std::uint32_t value, int size)
{
    for (int i = 0; i < size; ++i)
        bytes[at + static_cast<std::size_t>(i)] =
            static_cast<char>(value >> (8 * (size - 1 - i)));
}

std::uint32_t get(std::string const& bytes, std::size_t at, int size)
{
    std::uint32_t value = 0;
    for (int i = 0; i < size; ++i)
        value = (value << 8U) | static_cast<unsigned char>(
                                    bytes[at + static_cast<std::size_t>(i)]);
    return value;
}

// The keyed sum over everything but `echo`, `pad` and the flag BOUNCED.
std::uint32_t compute_sum(std::string const& bytes)
{
    constexpr std::uint64_t key = 0x9b1e77a55c3d21f1ULL;
    std::uint64_t hash = key;
    auto const add = [&hash](unsigned char byte) {
        hash = (hash ^ byte) * 0x100000001b3ULL;
        hash ^= hash >> 29U;
    };
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        bool const is_left_out = (i >= 2 && i < flags_at) || i == pad_at;
        auto const byte = static_cast<unsigned char>(bytes[i]);
        if (!is_left_out)
            add(i == flags_at ? static_cast<unsigned char>(byte & ~bounced)
                              : byte);
    }
    auto const sum = static_cast<std::uint32_t>(hash ^ (hash >> 32U));
    return sum == 0 ? 1 : sum;
}

sockaddr_in to_raw(address value)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(value.ip);
    raw.sin_port = htons(value.port);
    return raw;
}

void set_nonblocking(int descriptor)
{
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
}

std::string encode_base64(std::string const& bytes)
{
    constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group =
                (group << 8U) |
                (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                      : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() && (j < 2 || i + j - 1 < bytes.size())
                        ? digits[(group >> (18 - 6 * j)) & 63U]
                        : '=';
    }
    return text;
}

std::string decode_query(std::string const& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else
            out += text[i];
    return out;
}

std::string find_field(std::string const& query, std::string const& name)
{
    std::istringstream fields{query};
    std::string field;
    while (std::getline(fields, field, '&'))
        if (field.starts_with(name + "="))
            return decode_query(field.substr(name.size() + 1));
    return {};
}

std::uint64_t unix_milliseconds()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

// The value of a header of an HTTP message, or nothing.
std::string find_header(std::string const& head, std::string const& name)
{
    std::size_t const at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    std::size_t const begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

// Takes one HTTP message with a Content-Length from the front.
std::optional<std::pair<std::string, std::string>> take_message(std::string& in)
{
    std::size_t const end = in.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    std::string const head = in.substr(0, end + 2);
    std::size_t const size =
        std::strtoul(find_header(head, "Content-Length").c_str(), nullptr, 10);
    if (in.size() < end + 4 + size)
        return std::nullopt;
    std::string const body = in.substr(end + 4, size);
    in.erase(0, end + 4 + size);
    return std::pair{head, body};
}

double retransmission_delay(int retries)
{
    double delay = first_retransmission;
    for (int i = 0; i < retries; ++i)
        delay = std::min(delay * 2, longest_retransmission);
    return delay;
}

}  // namespace

std::string to_text(address value)
{
    return std::to_string(value.ip >> 24U) + "." +
           std::to_string((value.ip >> 16U) & 255U) + "." +
           std::to_string((value.ip >> 8U) & 255U) + "." +
           std::to_string(value.ip & 255U) + ":" + std::to_string(value.port);
}

address make_address(std::string const& ip, std::uint16_t port)
{
    return {ntohl(::inet_addr(ip.c_str())), port};
}

// ---- event_queue --------------------------------------------------------

double now()
{
    static auto const start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

void event_queue::at(double time, std::function<void()> action)
{
    this->timers.emplace(time, std::move(action));
}

void event_queue::after(double delay, std::function<void()> action)
{
    this->at(now() + delay, std::move(action));
}

void event_queue::watch(int descriptor, bool for_writing,
                        std::function<void()> action)
{
    this->descriptors[descriptor] = {for_writing, std::move(action)};
}

void event_queue::unwatch(int descriptor)
{
    this->descriptors.erase(descriptor);
}

void event_queue::run(double until)
{
    while (!this->is_stopped && now() < until) {
        while (!this->timers.empty() && this->timers.begin()->first <= now()) {
            auto const action = std::move(this->timers.begin()->second);
            this->timers.erase(this->timers.begin());
            action();
        }
        double const next = this->timers.empty()
                                ? until
                                : std::min(until, this->timers.begin()->first);
        std::vector<pollfd> polled;
        for (auto const& [descriptor, one] : this->descriptors)
            polled.push_back(
                {descriptor,
                 static_cast<short>(one.for_writing ? POLLOUT : POLLIN), 0});
        int const wait =
            static_cast<int>(std::clamp((next - now()) * 1000, 0.0, 100.0));
        if (::poll(polled.data(), polled.size(), wait) <= 0)
            continue;
        for (pollfd const& one : polled) {
            auto const found = this->descriptors.find(one.fd);
            if (one.revents == 0 || found == this->descriptors.end())
                continue;
            auto const action = found->second.action;
            action();
        }
    }
}

// ---- packet -------------------------------------------------------------

std::string write_packet(packet const& from)
{
    std::string bytes(head_size, '\0');
    put(bytes, length_at, static_cast<std::uint32_t>(from.data.size()), 2);
    put(bytes, flags_at, from.flags, 1);
    put(bytes, source_port_at, from.source.port, 2);
    put(bytes, source_ip_at, from.source.ip, 4);
    put(bytes, destination_ip_at, from.destination.ip, 4);
    put(bytes, destination_port_at, from.destination.port, 2);
    put(bytes, sequence_at, from.sequence, 4);
    put(bytes, acknowledgement_at, from.acknowledgement, 4);
    bytes += from.data;
    put(bytes, sum_at, compute_sum(bytes), 4);
    return bytes;
}

std::optional<packet> read_packet(std::string const& bytes)
{
    if (bytes.size() < head_size ||
        bytes.size() != head_size + get(bytes, length_at, 2))
        return std::nullopt;
    return packet{
        {get(bytes, source_ip_at, 4),
         static_cast<std::uint16_t>(get(bytes, source_port_at, 2))},
        {get(bytes, destination_ip_at, 4),
         static_cast<std::uint16_t>(get(bytes, destination_port_at, 2))},
        get(bytes, flags_at, 1),
        get(bytes, sequence_at, 4),
        get(bytes, acknowledgement_at, 4),
        get(bytes, sum_at, 4),
        bytes.substr(head_size)};
}

bool has_valid_sum(std::string const& bytes)
{
    return get(bytes, sum_at, 4) == compute_sum(bytes);
}

bool is_in_window(std::uint32_t sequence, std::uint32_t acknowledged)
{
    return std::min(sequence - acknowledged, acknowledged - sequence) <=
           reset_window;
}

// ---- udp ----------------------------------------------------------------

int bind_udp(address local)
{
    int const descriptor = ::socket(AF_INET, SOCK_DGRAM, 0);
    set_nonblocking(descriptor);
    int const size = 4 << 20;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    sockaddr_in const raw = to_raw(local);
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&raw),
               sizeof raw) != 0)
        throw std::runtime_error("cannot bind UDP " + to_text(local));
    return descriptor;
}

void send_udp(int descriptor, address to, std::string const& bytes)
{
    sockaddr_in const raw = to_raw(to);
    ::sendto(descriptor, bytes.data(), bytes.size(), 0,
             reinterpret_cast<sockaddr const*>(&raw), sizeof raw);
}

std::optional<std::string> receive_udp(int descriptor)
{
    char buffer[4096];
    ssize_t const size = ::recv(descriptor, buffer, sizeof buffer, 0);
    if (size < 0)
        return std::nullopt;
    return std::string(buffer, static_cast<std::size_t>(size));
}

// ---- store --------------------------------------------------------------

store::store(event_queue& events, address listen) : events(events)
{
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    set_nonblocking(this->listener);
    int const on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in const raw = to_raw(listen);
    if (::bind(this->listener, reinterpret_cast<sockaddr const*>(&raw),
               sizeof raw) != 0 ||
        ::listen(this->listener, 256) != 0)
        throw std::runtime_error("cannot listen on " + to_text(listen));
    events.watch(this->listener, false, [this] {
        this->accept();
    });
}

std::uint64_t store::put(std::string const& key, std::string const& value)
{
    item& one = this->items[key];
    one.revision = ++this->revision;
    one.created = one.created == 0 ? one.revision : one.created;
    one.value = value;
    this->history.push_back({key, one.revision, one});
    this->notify();
    return one.revision;
}

void store::remove(std::string const& key)
{
    if (this->items.erase(key) == 0)
        return;
    this->history.push_back({key, ++this->revision, std::nullopt});
    this->notify();
}

void store::compact()
{
    this->history.clear();
    this->oldest = this->revision;
    this->cut_watches();
}

void store::save()
{
    this->saved_items = this->items;
    this->saved_revision = this->revision;
}

void store::restore()
{
    this->items = this->saved_items;
    this->revision = this->saved_revision;
    this->history.clear();
    this->oldest = this->revision;
    ++this->era;
    this->cut_watches();
}

void store::cut_watches()
{
    std::vector<int> cut;
    for (auto const& [descriptor, one] : this->connections)
        if (one->is_waiting)
            cut.push_back(descriptor);
    for (int const descriptor : cut)
        this->close(descriptor);
}

void store::accept()
{
    int const descriptor = ::accept(this->listener, nullptr, nullptr);
    if (descriptor < 0)
        return;
    set_nonblocking(descriptor);
    this->connections[descriptor] = std::make_shared<connection>();
    this->events.watch(descriptor, false, [this, descriptor] {
        this->read(descriptor);
    });
}

void store::close(int descriptor)
{
    this->events.unwatch(descriptor);
    this->connections.erase(descriptor);
    ::close(descriptor);
}

void store::read(int descriptor)
{
    char buffer[8192];
    ssize_t const size = ::recv(descriptor, buffer, sizeof buffer, 0);
    if (size == 0 || (size < 0 && errno != EAGAIN)) {
        this->close(descriptor);
        return;
    }
    auto const one = this->connections.at(descriptor);
    one->input.append(buffer,
                      static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    if (one->input.find("\r\n\r\n") == std::string::npos || one->is_answered ||
        one->is_waiting || this->is_silent)
        return;
    this->events.after(this->answer_delay,
                       [this, descriptor, weak = std::weak_ptr{one}] {
                           auto const same = weak.lock();
                           if (same && this->connections.contains(descriptor) &&
                               this->connections.at(descriptor) == same)
                               this->handle(descriptor);
                       });
    one->is_answered = true;
}

void store::handle(int descriptor)
{
    auto const one = this->connections.at(descriptor);
    ++this->read_count;
    std::string const line = one->input.substr(0, one->input.find("\r\n"));
    std::size_t const begin = line.find(' ') + 1;
    std::string const target =
        line.substr(begin, line.find(' ', begin) - begin);
    std::size_t const mark = target.find('?');
    std::string const path = target.substr(0, mark);
    std::string const query =
        mark == std::string::npos ? std::string{} : target.substr(mark + 1);
    std::string const prefix = find_field(query, "prefix");
    if (path == "/kv-range") {
        this->answer(descriptor, 200,
                     this->write_range(prefix, find_field(query, "after")));
        return;
    }
    if (path != "/kv-watch") {
        this->answer(descriptor, 404, "{}");
        return;
    }
    std::uint64_t const since =
        std::strtoull(find_field(query, "after").c_str(), nullptr, 10);
    if (since < this->oldest || since > this->revision) {
        this->answer(descriptor, 410, "{}");
        return;
    }
    one->after = std::strtoull(find_field(query, "after").c_str(), nullptr, 10);
    one->prefix = prefix;
    one->is_waiting = true;
    double const wait =
        std::strtod(find_field(query, "waitMs").c_str(), nullptr) / 1000;
    this->events.after(wait, [this, descriptor, weak = std::weak_ptr{one}] {
        auto const same = weak.lock();
        if (same && same->is_waiting)
            this->answer(descriptor, 200,
                         this->write_changes(same->prefix, same->after));
    });
    this->notify();
}

void store::notify()
{
    std::vector<int> due;
    for (auto const& [descriptor, one] : this->connections)
        if (one->is_waiting && !this->is_silent)
            for (change const& event : this->history)
                if (event.revision > one->after &&
                    event.key.starts_with(one->prefix)) {
                    due.push_back(descriptor);
                    break;
                }
    for (int const descriptor : due)
        this->answer(
            descriptor, 200,
            this->write_changes(this->connections.at(descriptor)->prefix,
                                this->connections.at(descriptor)->after));
}

std::string store::write_item(std::string const& key, item const& one) const
{
    return "{\"key\":\"" + key + "\",\"value\":\"" + encode_base64(one.value) +
           "\",\"revision\":" + std::to_string(one.revision) +
           ",\"createdRev\":" + std::to_string(one.created) + ",\"lease\":0}";
}

std::string store::write_changes(std::string const& prefix,
                                 std::uint64_t after) const
{
    std::string events;
    for (change const& one : this->history) {
        if (one.revision <= after || !one.key.starts_with(prefix))
            continue;
        events += events.empty() ? "" : ",";
        events += one.now
                      ? this->write_item(one.key, *one.now)
                      : "{\"key\":\"" + one.key +
                            "\",\"revision\":" + std::to_string(one.revision) +
                            ",\"deleted\":true}";
    }
    return "{\"events\":[" + events +
           "],\"atRev\":" + std::to_string(this->revision) + "}";
}

std::string store::write_range(std::string const& prefix,
                               std::string const& after) const
{
    std::string list;
    std::size_t count = 0;
    bool has_more = false;
    for (auto const& [key, one] : this->items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        if (count++ == this->page_size) {
            has_more = true;
            break;
        }
        list += (list.empty() ? "" : ",") + this->write_item(key, one);
    }
    return "{\"items\":[" + list +
           "],\"hasMore\":" + (has_more ? "true" : "false") +
           ",\"atRev\":" + std::to_string(this->revision) + "}";
}

void store::answer(int descriptor, int status, std::string const& body)
{
    auto const one = this->connections.at(descriptor);
    one->is_waiting = false;
    one->output = "HTTP/1.1 " + std::to_string(status) +
                  " Answer\r\nContent-Type: application/json\r\n"
                  "Connection: close\r\nStore-Era: " +
                  std::to_string(this->era) +
                  "\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body;
    this->flush(descriptor);
}

void store::flush(int descriptor)
{
    std::string& output = this->connections.at(descriptor)->output;
    ssize_t const size =
        ::send(descriptor, output.data(), output.size(), MSG_NOSIGNAL);
    if (size < 0 && errno != EAGAIN) {
        this->close(descriptor);
        return;
    }
    output.erase(0, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    if (output.empty())
        this->close(descriptor);
    else
        this->events.watch(descriptor, true, [this, descriptor] {
            this->flush(descriptor);
        });
}

// ---- process ------------------------------------------------------------

process::process(std::string program, std::string settings_path,
                 std::string log_path)
    : program(std::move(program)), settings_path(std::move(settings_path)),
      log_path(std::move(log_path))
{
}

process::~process()
{
    this->kill_and_wait();
}

void process::start()
{
    this->id = ::fork();
    if (this->id != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("LAGOONPADDLE_BOOT", this->settings_path.c_str(), 1);
    int const log =
        ::open(this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execl(this->program.c_str(), this->program.c_str(), nullptr);
    ::_exit(127);
}

void process::signal(int number)
{
    if (this->id > 0)
        ::kill(this->id, number);
}

bool process::is_running()
{
    if (this->id <= 0)
        return false;
    if (::waitpid(this->id, nullptr, WNOHANG) != this->id)
        return true;
    this->id = 0;
    return false;
}

void process::kill_and_wait()
{
    if (this->id <= 0)
        return;
    ::kill(this->id, SIGKILL);
    ::waitpid(this->id, nullptr, 0);
    this->id = 0;
}

// ---- endpoint -----------------------------------------------------------

endpoint::endpoint(event_queue& events, store& entries,
                   endpoint_settings settings)
    : settings(std::move(settings)), events(events), entries(entries),
      random(std::random_device{}())
{
    this->socket = bind_udp(this->settings.app);
    events.watch(this->socket, false, [this] {
        this->receive();
    });
}

void endpoint::start(bool is_cold)
{
    this->warm_at = is_cold ? now() + this->settings.cold_time : 0;
    this->flows.clear();
    this->waiting.clear();
    this->running = 0;
    this->sequence = 0;
    this->born = unix_milliseconds();
    this->is_alive = true;
    this->is_draining = false;
    ++this->boot;
    this->beat(this->boot);
}

void endpoint::crash()
{
    this->is_alive = false;
    this->flows.clear();
    this->waiting.clear();
    ++this->boot;
}

void endpoint::beat(std::uint64_t boot)
{
    if (!this->is_alive || boot != this->boot)
        return;
    this->register_now();
    this->events.after(this->settings.heartbeat, [this, boot] {
        this->beat(boot);
    });
}

void endpoint::register_now()
{
    this->entries.put(
        "servers/" + this->settings.id,
        "{\"service\":\"" + this->settings.service + "\",\"address\":\"" +
            to_text(this->settings.app) + "\",\"zone\":\"" +
            this->settings.zone + "\",\"configVersion\":\"v1\",\"slots\":" +
            std::to_string(this->settings.slots) + ",\"state\":\"" +
            (this->is_draining ? "draining" : "ready") +
            "\",\"coldRemainingMs\":" +
            std::to_string(
                static_cast<int>(std::max(this->warm_at - now(), 0.0) * 1000)) +
            ",\"born\":" + std::to_string(this->born) +
            ",\"sequence\":" + std::to_string(++this->sequence) + "}");
}

bool endpoint::holds_open(address source, address destination) const
{
    auto const found = this->flows.find({source, destination});
    return this->is_alive && found != this->flows.end() &&
           found->second.is_open && !found->second.is_ended;
}

void endpoint::bounce(std::string const& bytes)
{
    std::string back = bytes;
    back[flags_at] =
        static_cast<char>(static_cast<unsigned char>(back[flags_at]) | bounced);
    back[pad_at] = 0;
    ++this->bounce_count;
    send_udp(this->socket, this->settings.outbound, back);
}

void endpoint::receive()
{
    while (std::optional<std::string> const bytes = receive_udp(this->socket)) {
        if (!this->is_alive)
            continue;
        std::optional<packet> const one = read_packet(*bytes);
        if (!one || !has_valid_sum(*bytes)) {
            ++this->altered_count;
            continue;
        }
        flow_key const key{one->source, one->destination};
        auto const found = this->flows.find(key);
        if ((one->flags & syn) != 0) {
            if (found == this->flows.end())
                this->open(key, *one);
            else if (!found->second.is_open)
                this->send(key, syn | acked, found->second.first_sequence,
                           found->second.expected, {});
            continue;
        }
        bool const is_held = found != this->flows.end() &&
                             (found->second.is_open ||
                              one->acknowledgement == found->second.sequence);
        if (this->on_packet)
            this->on_packet(key.first, key.second, is_held);
        if (is_held)
            this->handle(key, found->second, *one);
        else
            this->bounce(*bytes);
    }
}

void endpoint::open(flow_key const& key, packet const& from)
{
    ++this->opening_count;
    if (this->on_opening)
        this->on_opening(key.first, key.second, false);
    flow& one = this->flows[key];
    one.first_sequence = static_cast<std::uint32_t>(this->random());
    one.sequence = one.first_sequence + 1;
    one.acknowledged = one.sequence;
    one.sent_to = one.sequence;
    one.expected = from.sequence + 1;
    this->send(key, syn | acked, one.first_sequence, one.expected, {});
    this->arm(key, one, first_retransmission);
}

void endpoint::send(flow_key const& key, unsigned flags, std::uint32_t sequence,
                    std::uint32_t acknowledgement, std::string const& data)
{
    send_udp(this->socket, this->settings.outbound,
             write_packet({key.second, key.first, flags, sequence,
                           acknowledgement, 0, data}));
}

void endpoint::arm(flow_key const& key, flow& one, double delay)
{
    std::uint64_t const timer = ++this->last_timer;
    one.timer = timer;
    this->events.after(delay, [this, key, timer] {
        this->retransmit(key, timer);
    });
}

void endpoint::retransmit(flow_key const& key, std::uint64_t timer)
{
    auto const found = this->flows.find(key);
    if (found == this->flows.end() || found->second.timer != timer)
        return;
    flow& one = found->second;
    bool const is_done =
        one.is_open &&
        one.acknowledged == one.sequence +
                                static_cast<std::uint32_t>(one.output.size()) +
                                (one.has_sent_fin ? 1 : 0);
    if (is_done || one.is_ended)
        return;
    if (++one.retries > most_endpoint_retries) {
        this->flows.erase(found);
        return;
    }
    if (!one.is_open)
        this->send(key, syn | acked, one.first_sequence, one.expected, {});
    else {
        one.sent_to = one.acknowledged;
        this->send_output(key, one);
    }
    this->arm(key, one, retransmission_delay(one.retries));
}

// `output` holds the bytes from `sequence` on, which is also what the requester
// has acknowledged of the data.
void endpoint::send_output(flow_key const& key, flow& one)
{
    bool has_sent = false;
    auto const size = static_cast<std::uint32_t>(one.output.size());
    while (one.sent_to - one.sequence < size &&
           one.sent_to - one.sequence < most_in_flight * max_data) {
        std::uint32_t const at = one.sent_to - one.sequence;
        std::string const data = one.output.substr(at, max_data);
        this->send(key, acked, one.sent_to, one.expected, data);
        one.sent_to += static_cast<std::uint32_t>(data.size());
        one.unacknowledged_packets = 0;
        has_sent = true;
    }
    if (one.is_finishing && one.sent_to - one.sequence == size) {
        this->send(key, acked | fin, one.sent_to, one.expected, {});
        one.has_sent_fin = true;
        has_sent = true;
    }
    if (has_sent)
        this->arm(key, one, retransmission_delay(one.retries));
}

void endpoint::handle(flow_key const& key, flow& one, packet const& from)
{
    if (!one.is_open && this->on_opening)
        this->on_opening(key.first, key.second, true);
    one.is_open = true;
    if ((from.flags & rst) != 0) {
        one.is_ended = true;
        return;
    }
    if (one.is_ended) {
        if ((from.flags & fin) != 0)
            this->send(key, acked, one.sequence, one.expected, {});
        else if (!from.data.empty()) {
            ++this->reset_count;
            this->send(key, rst | acked, from.acknowledgement, one.expected,
                       {});
        }
        return;
    }
    std::uint32_t const gained = from.acknowledgement - one.sequence;
    std::uint32_t const size = static_cast<std::uint32_t>(one.output.size());
    if (gained > 0 && gained <= size + 1) {
        std::uint32_t const of_data = std::min(gained, size);
        one.output.erase(0, of_data);
        one.sequence += of_data;
        one.acknowledged = from.acknowledgement;
        if (one.sent_to - one.sequence > size)
            one.sent_to = one.sequence;
        one.retries = 0;
        bool const is_closed = gained > of_data && one.is_caller_finished;
        if (is_closed)
            one.is_ended = true;
    }
    if (!from.data.empty())
        one.early[from.sequence] = from.data;
    while (one.early.contains(one.expected)) {
        std::string const data = one.early[one.expected];
        one.early.erase(one.expected);
        one.input += data;
        one.expected += static_cast<std::uint32_t>(data.size());
    }
    std::uint32_t const end =
        from.sequence + static_cast<std::uint32_t>(from.data.size());
    if ((from.flags & fin) != 0 && end == one.expected &&
        !one.is_caller_finished) {
        one.is_caller_finished = true;
        one.is_finishing = true;
        ++one.expected;
    }
    if (!from.data.empty() || (from.flags & fin) != 0)
        this->send(key, acked, one.sent_to, one.expected, {});
    this->take_requests(key, one);
    this->send_output(key, one);
}

void endpoint::take_requests(flow_key const& key, flow& one)
{
    if (one.is_busy)
        return;
    auto const request = take_message(one.input);
    if (!request)
        return;
    std::string const id = find_header(request->first, "X-Request-Id");
    if (this->running >= this->settings.slots &&
        this->waiting.size() >= this->settings.queue_length) {
        one.output +=
            "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: " + id +
            "\r\nContent-Length: 0\r\n\r\n";
        return;
    }
    one.is_busy = true;
    this->waiting.emplace_back(key, id);
    this->run_next();
}

void endpoint::run_next()
{
    if (this->running >= this->settings.slots || this->waiting.empty())
        return;
    auto const [key, id] = this->waiting.front();
    this->waiting.pop_front();
    ++this->running;
    this->runs.push_back(
        {now(), id, this->settings.service, this->settings.id, key.first});
    bool const is_long = std::uniform_real_distribution<double>{}(
                             this->random) < this->settings.tail_share;
    double const usual = std::min(
        this->settings.work * (is_long ? this->settings.tail_factor : 1),
        this->settings.longest_work);
    double const work =
        usual * (now() < this->warm_at ? this->settings.cold_factor : 1);
    this->events.after(work, [this, key = key, id = id, boot = this->boot] {
        if (boot != this->boot)
            return;
        --this->running;
        auto const found = this->flows.find(key);
        if (found != this->flows.end()) {
            flow& one = found->second;
            one.is_busy = false;
            std::string body = id + "/";
            body.resize(this->settings.answer_size, 'x');
            one.output += "HTTP/1.1 200 OK\r\nX-Response-Seal: " + id +
                          "\r\nX-Request-Id: " + id +
                          "\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body;
            if (this->is_draining)
                one.is_finishing = true;
            this->send_output(key, one);
            this->take_requests(key, one);
        }
        this->run_next();
    });
}

// ---- router -------------------------------------------------------------

router::router(event_queue& events, std::vector<address> ready,
               std::vector<address> packets)
    : events(events)
{
    for (std::size_t i = 0; i < ready.size(); ++i)
        this->nodes.push_back({ready[i], packets[i]});
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
        this->poll(i);
}

void router::record(std::size_t index, bool is_ready)
{
    node& one = this->nodes[index];
    one.misses = is_ready ? 0 : one.misses + 1;
    if (is_ready)
        one.is_in = true;
    else if (one.misses >= 2)
        one.is_in = false;
}

void router::poll(std::size_t index)
{
    this->events.after(0.5, [this, index] {
        this->poll(index);
    });
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    set_nonblocking(descriptor);
    sockaddr_in const raw = to_raw(this->nodes[index].ready);
    ::connect(descriptor, reinterpret_cast<sockaddr const*>(&raw), sizeof raw);
    auto const state = std::make_shared<std::pair<bool, std::string>>();
    auto const finish = [this, index, descriptor, state](bool is_ready) {
        if (state->first)
            return;
        state->first = true;
        this->events.unwatch(descriptor);
        ::close(descriptor);
        this->record(index, is_ready);
    };
    this->events.after(0.4, [finish] {
        finish(false);
    });
    this->events.watch(descriptor, true, [this, descriptor, finish, state] {
        std::string const request =
            "GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) <
            0) {
            finish(false);
            return;
        }
        this->events.watch(descriptor, false, [descriptor, finish, state] {
            char buffer[1024];
            ssize_t const size = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (size > 0)
                state->second.append(buffer, static_cast<std::size_t>(size));
            if (size <= 0 || state->second.size() >= 12)
                finish(state->second.find(" 200") != std::string::npos);
        });
    });
}

std::optional<address> router::choose(packet const& from) const
{
    std::vector<address> in;
    for (node const& one : this->nodes)
        if (one.is_in)
            in.push_back(one.packets);
    if (in.size() * 2 < this->nodes.size()) {
        in.clear();
        for (node const& one : this->nodes)
            in.push_back(one.packets);
    }
    if (in.empty())
        return std::nullopt;
    std::uint64_t hash = 1469598103934665603ULL;
    for (std::uint32_t const value :
         {from.source.ip, std::uint32_t{from.source.port}, from.destination.ip,
          std::uint32_t{from.destination.port}})
        hash = (hash ^ value) * 1099511628211ULL;
    return in[(hash >> 20U) % in.size()];
}

std::size_t router::count_ready() const
{
    return static_cast<std::size_t>(std::count_if(
        this->nodes.begin(), this->nodes.end(), [](node const& one) {
            return one.is_in;
        }));
}

// ---- requester ----------------------------------------------------------

requester::requester(event_queue& events, router const& routes, address local)
    : local(local), events(events), routes(routes),
      random(std::random_device{}())
{
    this->socket = bind_udp(local);
    events.watch(this->socket, false, [this] {
        this->receive();
    });
}

std::size_t requester::count_open() const
{
    return static_cast<std::size_t>(std::count_if(
        this->flows.begin(), this->flows.end(), [](auto const& one) {
            return one.second.is_open && !one.second.is_closed;
        }));
}

void requester::start_flow(address route, unsigned request_count, double pause,
                           double budget)
{
    std::uint16_t const port = this->next_port++;
    flow& one = this->flows[port];
    one = {};
    one.source = {this->local.ip, port};
    one.route = route;
    one.number = ++this->last_number;
    one.sequence = static_cast<std::uint32_t>(this->random()) + 1;
    one.acknowledged = one.sequence;
    one.sent_to = one.sequence;
    one.requests_left = request_count;
    one.pause = pause;
    one.budget = budget;
    one.waiting = this->attempts.size();
    this->attempts.push_back(
        {to_text(one.source) + "-" + std::to_string(this->attempts.size()),
         route, one.source, now()});
    std::uint64_t const number = one.number;
    this->send_opening(port, number, 0);
    this->events.after(0.2, [this, port, number] {
        this->send_opening(port, number, 1);
    });
    this->events.after(0.6, [this, port, number] {
        this->send_opening(port, number, 2);
    });
    this->events.after(1.4, [this, port, number] {
        auto const found = this->flows.find(port);
        if (found != this->flows.end() && found->second.number == number &&
            !found->second.is_open)
            this->end(found->second, "no flow");
    });
}

void requester::send_opening(std::uint16_t port, std::uint64_t number,
                             unsigned copy)
{
    auto const found = this->flows.find(port);
    if (found == this->flows.end() || found->second.number != number ||
        found->second.is_open || found->second.is_closed)
        return;
    this->send(found->second, syn, found->second.sequence - 1, copy, {});
}

void requester::send(flow const& one, unsigned flags, std::uint32_t sequence,
                     std::uint32_t acknowledgement, std::string const& data)
{
    packet const out{one.source,      one.route, flags, sequence,
                     acknowledgement, 0,         data};
    if (std::optional<address> const to = this->routes.choose(out))
        send_udp(this->socket, *to, write_packet(out));
}

void requester::receive()
{
    while (std::optional<std::string> const bytes = receive_udp(this->socket)) {
        std::optional<packet> const one = read_packet(*bytes);
        if (!one) {
            ++this->altered_count;
            continue;
        }
        auto const found = this->flows.find(one->destination.port);
        bool const is_known =
            found != this->flows.end() && found->second.route == one->source;
        bool const is_reset =
            one->sum == 0 && one->flags == rst && one->data.empty();
        if (is_reset) {
            if (is_known && !found->second.is_closed)
                this->handle_reset(found->second, *one);
        } else if (!has_valid_sum(*bytes))
            ++this->altered_count;
        else if (is_known && !found->second.is_closed)
            this->handle(found->second, *one);
    }
}

void requester::handle_reset(flow& one, packet const& from)
{
    reset_record const record{now(),
                              one.source,
                              one.route,
                              one.is_open,
                              is_in_window(from.sequence, one.expected),
                              one.waiting.has_value()};
    this->resets.push_back(record);
    if (this->on_reset)
        this->on_reset(record);
    if (!one.is_open || record.is_in_window)
        this->end(one, "reset");
}

void requester::end(flow& one, std::string const& outcome)
{
    one.is_closed = true;
    if (one.waiting)
        this->attempts[*one.waiting].outcome = outcome;
    one.waiting.reset();
}

void requester::handle(flow& one, packet const& from)
{
    bool const is_acceptance = (from.flags & (syn | acked)) == (syn | acked);
    if (is_acceptance) {
        if (!one.is_open) {
            one.is_open = true;
            one.expected = from.sequence + 1;
            this->send(one, acked, one.sequence, one.expected, {});
            this->send_request(one);
        } else if (from.sequence + 1 == one.expected)
            this->send(one, acked, one.sent_to, one.expected, {});
        return;
    }
    if (!one.is_open || !is_in_window(from.sequence, one.expected))
        return;
    if ((from.flags & rst) != 0) {
        ++this->endpoint_reset_count;
        this->end(one, "reset by its endpoint");
        return;
    }
    std::uint32_t const gained = from.acknowledgement - one.sequence;
    auto const size = static_cast<std::uint32_t>(one.output.size());
    if (gained > 0 && gained <= size) {
        one.output.erase(0, gained);
        one.sequence += gained;
        one.acknowledged = one.sequence;
        if (one.sent_to - one.sequence > size)
            one.sent_to = one.sequence;
        one.retries = 0;
    }
    if (!from.data.empty())
        one.early[from.sequence] = from.data;
    while (one.early.contains(one.expected)) {
        std::string const data = one.early[one.expected];
        one.early.erase(one.expected);
        one.input += data;
        one.expected += static_cast<std::uint32_t>(data.size());
    }
    std::uint32_t const end =
        from.sequence + static_cast<std::uint32_t>(from.data.size());
    bool const is_end = (from.flags & fin) != 0 && end == one.expected;
    if (is_end)
        ++one.expected;
    if (!from.data.empty()) {
        if (++one.unacknowledged_packets >= 2 || is_end) {
            one.unacknowledged_packets = 0;
            this->send(one, acked, one.sent_to, one.expected, {});
        } else
            this->events.after(
                acknowledgement_delay,
                [this, port = one.source.port, number = one.number] {
                    auto const found = this->flows.find(port);
                    if (found == this->flows.end() ||
                        found->second.number != number ||
                        found->second.unacknowledged_packets == 0)
                        return;
                    found->second.unacknowledged_packets = 0;
                    this->send(found->second, acked, found->second.sent_to,
                               found->second.expected, {});
                });
    }
    this->take_answers(one);
    if (is_end && !one.is_closed) {
        this->send(one, acked | fin, one.sent_to, one.expected, {});
        this->end(one, "closed by its endpoint");
    }
}

void requester::take_answers(flow& one)
{
    auto const answer = take_message(one.input);
    if (!answer || !one.waiting)
        return;
    this->attempts[*one.waiting].outcome =
        answer->first.starts_with("HTTP/1.1 200") ? "answered" : "refused";
    one.waiting.reset();
    if (--one.requests_left == 0) {
        this->send(one, acked | fin, one.sent_to, one.expected, {});
        one.is_closed = true;
        return;
    }
    this->events.after(
        one.pause, [this, port = one.source.port, number = one.number] {
            auto const found = this->flows.find(port);
            if (found == this->flows.end() || found->second.number != number ||
                found->second.is_closed)
                return;
            found->second.waiting = this->attempts.size();
            this->attempts.push_back({to_text(found->second.source) + "-" +
                                          std::to_string(this->attempts.size()),
                                      found->second.route, found->second.source,
                                      now()});
            this->send_request(found->second);
        });
}

void requester::send_request(flow& one)
{
    one.output += "GET /r HTTP/1.1\r\nHost: r\r\nX-Request-Id: " +
                  this->attempts[*one.waiting].id +
                  "\r\nContent-Length: 0\r\n\r\n";
    std::size_t const index = *one.waiting;
    this->events.after(
        one.budget, [this, port = one.source.port, number = one.number, index] {
            auto const found = this->flows.find(port);
            if (found != this->flows.end() && found->second.number == number &&
                found->second.waiting == index)
                this->end(found->second, "time budget");
        });
    this->send_output(one);
}

void requester::send_output(flow& one)
{
    auto const size = static_cast<std::uint32_t>(one.output.size());
    while (one.sent_to - one.sequence < size) {
        std::string const data =
            one.output.substr(one.sent_to - one.sequence, max_data);
        this->send(one, acked, one.sent_to, one.expected, data);
        one.sent_to += static_cast<std::uint32_t>(data.size());
    }
    this->arm(one, retransmission_delay(one.retries));
}

void requester::arm(flow& one, double delay)
{
    std::uint64_t const timer = ++this->last_timer;
    one.timer = timer;
    this->events.after(delay, [this, port = one.source.port, timer] {
        this->retransmit(port, timer);
    });
}

void requester::retransmit(std::uint16_t port, std::uint64_t timer)
{
    auto const found = this->flows.find(port);
    if (found == this->flows.end() || found->second.timer != timer ||
        found->second.is_closed || found->second.output.empty())
        return;
    ++found->second.retries;
    found->second.sent_to = found->second.sequence;
    this->send_output(found->second);
}

// ---- world --------------------------------------------------------------

std::string to_text(configuration const& value)
{
    std::string routes;
    unsigned number = 0;
    for (route_settings const& one : value.routes) {
        std::string const at = to_text(one.at);
        routes += (routes.empty() ? "" : ",") + std::string{"{\"name\":\"r-"} +
                  std::to_string(++number) + "\",\"host\":\"" +
                  at.substr(0, at.find(':')) + "\",\"prefix\":\"/" +
                  std::to_string(one.at.port) + "/\",\"routeType\":\"" +
                  one.type +
                  "\",\"timeoutMs\":" + std::to_string(one.timeout_ms) +
                  ",\"targetLatencyMs\":" + std::to_string(one.objective_ms) +
                  ",\"priority\":" + std::to_string(one.priority) + ",";
        if (one.services.size() == 1)
            routes += "\"service\":\"" + one.services[0].first + "\"";
        else {
            std::string parts;
            for (auto const& [name, weight] : one.services)
                parts += (parts.empty() ? "" : ",") +
                         std::string{"{\"service\":\""} + name +
                         "\",\"weight\":" + std::to_string(weight) + "}";
            routes += "\"trafficSplit\":[" + parts + "]";
        }
        routes += ",\"maxAttempts\":2}";
    }
    std::string services;
    for (std::string const& name : value.services)
        services += (services.empty() ? "" : ",") +
                    std::string{"{\"name\":\""} + name +
                    "\",\"healthPath\":\"/health\",\"maxConnections\":2000,"
                    "\"protocol\":\"h1\",\"tls\":false}";
    return "{\"configVersion\":" + std::to_string(value.version) +
           ",\"routes\":[" + routes + "],\"services\":[" + services +
           "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":" +
           std::to_string(value.idle_timeout_ms) + "}}";
}

namespace {

enum port_index : unsigned
{
    packets_port,
    ready_port,
    control_port,
    outbound_port,
    app_port,
    exchange_port,
    metrics_port,
    store_port,
    port_count
};

// Time until the first starts are over, in seconds.
constexpr double bootstrap_time = 2;

constexpr unsigned front_group = 1;
constexpr unsigned side_group = 2;
constexpr unsigned store_group = 3;
constexpr unsigned requester_group = 4;

// Whether the port can be bound on every loopback address, so that no other
// program of this machine uses it.
bool is_free(std::uint16_t port)
{
    for (int const type : {SOCK_DGRAM, SOCK_STREAM}) {
        int const descriptor = ::socket(AF_INET, type, 0);
        sockaddr_in const raw = to_raw({0, port});
        bool const is_bound =
            ::bind(descriptor, reinterpret_cast<sockaddr const*>(&raw),
                   sizeof raw) == 0;
        ::close(descriptor);
        if (!is_bound)
            return false;
    }
    return true;
}

std::uint16_t find_free_ports()
{
    std::mt19937 random{std::random_device{}()};
    for (int i = 0; i < 1000; ++i) {
        auto const first =
            static_cast<std::uint16_t>(10'000 + random() % 20'000);
        bool is_usable = true;
        for (unsigned j = 0; j < port_count; ++j)
            is_usable =
                is_usable && is_free(static_cast<std::uint16_t>(first + j));
        if (is_usable)
            return first;
    }
    throw std::runtime_error("no free ports");
}

}  // namespace

world::world(std::string folder, world_settings settings)
    : folder(std::move(folder)), settings(settings),
      first_port(find_free_ports())
{
    this->record = std::fopen((this->folder + "/record.txt").c_str(), "w");
    if (this->record == nullptr)
        throw std::runtime_error("cannot write record.txt");
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->temporary = ::mkdtemp(name.data());
    char const* const logs = std::getenv("REVIEW_LOGS");
    this->log_folder = logs == nullptr ? this->temporary : logs;
    this->platform = std::make_unique<store>(
        this->events, this->make(store_group, 1, store_port));
}

world::~world()
{
    this->fronts.clear();
    this->sides.clear();
    std::filesystem::remove_all(this->temporary);
    std::fclose(this->record);
}

address world::make(unsigned group, unsigned index, unsigned port_index) const
{
    return {(127U << 24U) | (70U << 16U) | (group << 8U) | index,
            static_cast<std::uint16_t>(this->first_port + port_index)};
}

// The address of a route; nothing listens there.
address world::make_route(std::uint16_t port) const
{
    return {(127U << 24U) | (71U << 16U) | 1U, port};
}

void world::note(std::string const& line)
{
    std::fprintf(this->record, "%8.3f  %s\n", now(), line.c_str());
    std::fflush(this->record);
}

void world::note_requests()
{
    std::fprintf(this->record, "requests: time sent, id, route, outcome\n");
    for (auto const& from : this->requesters)
        for (attempt const& one : from->attempts)
            std::fprintf(this->record, "%8.3f  %s  %s  %s\n", one.sent_at,
                         one.id.c_str(), to_text(one.route).c_str(),
                         one.outcome.c_str());
    std::fprintf(this->record, "runs: time, id, endpoint, service\n");
    for (auto const& one : this->sides)
        for (run_record const& ran : one->server->runs)
            std::fprintf(this->record, "%8.3f  %s  %s  %s\n", ran.at,
                         ran.id.c_str(), ran.endpoint.c_str(),
                         ran.service.c_str());
    std::fprintf(this->record, "result\n");
}

std::string world::write_settings(std::string const& name,
                                  std::string const& text) const
{
    std::string const path = this->temporary + "/" + name + ".json";
    std::ofstream{path} << text;
    return path;
}

// The settings are those of platform/entry.settings.json, filled in.
void world::add_front(bool starts_now)
{
    auto const index = static_cast<unsigned>(this->fronts.size() + 1);
    auto const at = [this, index](unsigned port) {
        return "\"" + to_text(this->make(front_group, index, port)) + "\"";
    };
    std::string seeds;
    for (unsigned i = 1; i <= std::min(this->settings.front_count, 3U); ++i)
        seeds += (i == 1 ? "\"" : ",\"") +
                 to_text(this->make(front_group, i, control_port)) + "\"";
    std::string const name = "front-" + std::to_string(index);
    std::string const path = this->write_settings(
        name, "{\"name\":\"" + name +
                  "\",\"data_centre\":\"zone-a\",\"packets\":" +
                  at(packets_port) + ",\"exchange\":" + at(exchange_port) +
                  ",\"ready\":" + at(ready_port) +
                  ",\"metrics\":" + at(metrics_port) + ",\"platform\":\"" +
                  to_text(this->make(store_group, 1, store_port)) +
                  "\",\"seeds\":[" + seeds + "],\"change_limit_ms\":" +
                  std::to_string(this->settings.config_apply_ms) +
                  ",\"prefer_home_data_centre\":true,"
                  "\"reset_lost_connections\":true,\"log_level\":\"info\","
                  "\"log_lines_per_second\":150}");
    this->fronts.push_back(
        std::make_unique<process>("target/lagoon-platform-entry", path,
                                  this->log_folder + "/" + name + ".log"));
    if (starts_now)
        this->fronts.back()->start();
}

// The settings are those of platform/target.settings.json, filled in.
side& world::add_side(endpoint_settings const& server, bool is_first_start)
{
    unsigned const index = ++this->side_count;
    endpoint_settings own = server;
    own.app = this->make(side_group, index, app_port);
    own.outbound = this->make(side_group, index, outbound_port);
    own.zone = "zone-a";
    auto const at = [this, index](unsigned port) {
        return "\"" + to_text(this->make(side_group, index, port)) + "\"";
    };
    std::string const name = "side-" + std::to_string(index);
    auto const write = [this, name, own, at](bool is_first) {
        return this->write_settings(
            name,
            "{\"name\":\"" + name + "\",\"service\":\"" + own.service +
                "\",\"packets\":" + at(packets_port) + ",\"outbound\":" +
                at(outbound_port) + ",\"back_end\":" + at(app_port) +
                ",\"ready\":" + at(ready_port) +
                ",\"metrics\":" + at(metrics_port) + ",\"first_start\":" +
                (is_first ? "true" : "false") + ",\"longest_connection_s\":" +
                std::to_string(this->settings.max_flow_s) +
                ",\"stop_limit_s\":" + std::to_string(this->settings.grace_s) +
                ",\"log_level\":\"info\",\"log_lines_per_second\":150}");
    };
    std::string const path = write(is_first_start);
    // `bootstrap` holds for the first start only.
    this->events.after(bootstrap_time, [write] {
        write(false);
    });
    auto added = std::make_unique<side>();
    added->target =
        std::make_unique<process>("target/lagoon-platform-target", path,
                                  this->log_folder + "/" + name + ".log");
    added->target->start();
    added->server =
        std::make_unique<endpoint>(this->events, *this->platform, own);
    added->server->start();
    this->sides.push_back(std::move(added));
    return *this->sides.back();
}

void world::start_routers()
{
    std::vector<address> ready;
    std::vector<address> packets;
    for (unsigned i = 1; i <= this->settings.front_count; ++i) {
        ready.push_back(this->make(front_group, i, ready_port));
        packets.push_back(this->make(front_group, i, packets_port));
    }
    this->routes = std::make_unique<router>(this->events, ready, packets);
}

requester& world::add_requester()
{
    auto const index = static_cast<unsigned>(this->requesters.size() + 1);
    this->requesters.push_back(std::make_unique<requester>(
        this->events, *this->routes,
        this->make(requester_group, index, packets_port)));
    return *this->requesters.back();
}

void world::apply(configuration const& next)
{
    std::uint64_t const revision =
        this->platform->put("op/config", to_text(next));
    this->note("configuration " + std::to_string(next.version) +
               " acknowledged, revision " + std::to_string(revision));
}

int run_case(int argc, char** argv,
             int (*run)(std::string const& folder, bool has_trouble))
{
    if (argc != 2)
        return 2;
    char const* const trouble = std::getenv("TROUBLE");
    try {
        return run(argv[1], trouble == nullptr || std::string{trouble} != "0");
    } catch (std::exception const& problem) {
        std::fprintf(stderr, "%s\n", problem.what());
        return 2;
    }
}

}  // namespace review
