// Stand-ins and helpers for the scripts of this review: a store, engines, clients and the start of the project's programs.
// Everything listens on loopback addresses. A thread serves each connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Kit {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCannotRun = 2;

inline const Clock::time_point startedAt = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }
inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

// The record of a run, one line for each observation.
class Record {
public:
    void open(const std::string& path) { out_.open(path, std::ios::trunc); }
    void write(const std::string& line)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", now());
        out_ << time << line << "\n";
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};
inline Record record;

[[noreturn]] inline void cannotRun(const std::string& why)
{
    record.write("cannot run: " + why);
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(exitCannotRun);
}

inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

struct Address {
    std::string ip;
    std::uint16_t port { 0 };
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(Address& address)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in name = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 || ::listen(descriptor, 256) != 0)
        cannotRun("cannot listen on " + address.text());
    socklen_t size = sizeof(name);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &size);
    address.port = ntohs(name.sin_port);
    return descriptor;
}

// Returns ports of the address that are free now. The first of the last two is followed by another free one.
inline std::vector<std::uint16_t> freePorts(const std::string& ip, int count)
{
    std::vector<std::uint16_t> ports;
    std::vector<int> descriptors;
    for (int i = 0; i < count; ++i) {
        Address address { ip, 0 };
        descriptors.push_back(listenOn(address));
        ports.push_back(address.port);
    }
    for (int descriptor : descriptors)
        ::close(descriptor);
    return ports;
}

inline bool sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

// Closes a socket so that its peer gets a reset.
inline void resetConnection(int socket)
{
    linger value { 1, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
    ::shutdown(socket, SHUT_RD);
}

inline bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

struct Message {
    // The request line or the status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : headers) {
            if (equalsIgnoringCase(key, name))
                return value;
        }
        return {};
    }
    std::string word(std::size_t index) const
    {
        std::istringstream words(start);
        std::string result;
        for (std::size_t i = 0; i <= index; ++i) {
            result.clear();
            words >> result;
        }
        return result;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

// Reads HTTP/1.1 messages from a socket.
class Reader {
public:
    explicit Reader(int socket)
        : socket_(socket)
    {
    }

    // Returns false at the end of the connection, at a time-out of the socket, or for bytes that are no message; see error().
    // A response to HEAD has no body.
    bool read(Message& message, bool isResponse, bool isHeadResponse = false)
    {
        message = {};
        error_.clear();
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (isResponse && buffer_.size() >= 5 && buffer_.compare(0, 5, "HTTP/") != 0) {
                error_ = "no response: " + buffer_.substr(0, 60);
                return false;
            }
            if (!fill())
                return false;
        }
        if (isResponse && buffer_.compare(0, 5, "HTTP/") != 0) {
            error_ = "no response: " + buffer_.substr(0, 60);
            return false;
        }
        std::istringstream lines(buffer_.substr(0, end + 2));
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        message.start = line.substr(0, line.size() - 1);
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t first = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
            message.headers.emplace_back(line.substr(0, colon), line.substr(first));
        }
        if (isHeadResponse)
            return true;
        if (equalsIgnoringCase(message.header("Transfer-Encoding"), "chunked"))
            return readChunks(message.body);
        std::size_t length = static_cast<std::size_t>(std::strtoull(message.header("Content-Length").c_str(), nullptr, 10));
        while (buffer_.size() < length) {
            if (!fill())
                return false;
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

    const std::string& error() const { return error_; }

private:
    bool readLine(std::string& line)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }

    bool readChunks(std::string& body)
    {
        std::string line;
        while (readLine(line)) {
            std::size_t size = static_cast<std::size_t>(std::strtoull(line.c_str(), nullptr, 16));
            if (size == 0) {
                while (readLine(line) && !line.empty()) { }
                return true;
            }
            while (buffer_.size() < size + 2) {
                if (!fill())
                    return false;
            }
            body += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
        }
        return false;
    }

    bool fill()
    {
        char bytes[65536];
        ssize_t count = ::recv(socket_, bytes, sizeof(bytes), 0);
        if (count < 0 && errno == EINTR)
            return fill();
        if (count > 0) {
            buffer_.append(bytes, static_cast<std::size_t>(count));
            return true;
        }
        error_ = count == 0 ? "connection closed" : (errno == EAGAIN ? "no answer in time" : "connection reset");
        return false;
    }

    int socket_;
    std::string buffer_;
    std::string error_;
};

// Accepts connections in a thread and serves each one in another.
class Listener {
public:
    void start(Address& address, std::function<void(int)> serve)
    {
        int descriptor = listenOn(address);
        std::thread([descriptor, serve = std::move(serve)] {
            while (true) {
                int socket = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                    continue;
                int on = 1;
                ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread([socket, serve] {
                    serve(socket);
                    ::close(socket);
                }).detach();
            }
        }).detach();
    }
};

inline std::string encodeBase64(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

inline std::string decodeBase64(const std::string& text)
{
    std::string bytes;
    unsigned value = 0;
    int bits = 0;
    for (char digit : text) {
        const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const char* found = std::strchr(digits, digit);
        if (digit == '=' || !found)
            break;
        value = value << 6 | static_cast<unsigned>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(value >> bits & 255U);
        }
    }
    return bytes;
}

// The platform's store: rows, transactions and the feed of changes.
class Store {
public:
    explicit Store(std::string ip)
        : address_ { std::move(ip), 0 }
    {
        listener_.start(address_, [this](int socket) { serve(socket); });
    }

    const Address& address() const { return address_; }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        ++version_;
        rows_[{ table, key }] = { value, version_ };
        changes_.push_back({ version_, table, key });
        changed_.notify_all();
    }

private:
    struct Row {
        std::string value;
        std::uint64_t version;
    };
    struct Change {
        std::uint64_t version;
        std::string table;
        std::string key;
    };

    void serve(int socket)
    {
        Reader reader(socket);
        Message request;
        while (reader.read(request, false)) {
            auto [status, body] = handle(request);
            std::string text = body.dump();
            if (!sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
        }
    }

    static std::string decode(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    Json rowJson(const std::string& table, const std::string& key) const
    {
        Json row { { "Table", table }, { "part", "" }, { "Key", key } };
        auto found = rows_.find({ table, key });
        if (found == rows_.end()) {
            row["Tombstone"] = true;
            row["Ver"] = version_;
        } else {
            row["Value"] = encodeBase64(found->second.value);
            row["Ver"] = found->second.version;
        }
        return row;
    }

    std::pair<int, Json> handle(const Message& request)
    {
        std::string target = request.word(1);
        std::string path = target.substr(0, target.find('?'));
        std::map<std::string, std::string> query;
        if (path.size() < target.size()) {
            std::istringstream parts(target.substr(path.size() + 1));
            std::string part;
            while (std::getline(parts, part, '&'))
                query[part.substr(0, part.find('='))] = part.find('=') == std::string::npos ? "" : decode(part.substr(part.find('=') + 1));
        }
        std::unique_lock<std::mutex> lock(mutex_);
        Json rows = Json::array();
        if (path == "/-/rows-get") {
            for (const auto& [key, row] : rows_) {
                bool isInRange = key.second >= query["From"] && (query["Target"].empty() || key.second < query["Target"]);
                if (key.first == query["Table"] && isInRange)
                    rows.push_back(rowJson(key.first, key.second));
            }
        } else if (path == "/-/rows-feed") {
            std::uint64_t after = std::strtoull(query["AfterRev"].c_str(), nullptr, 10);
            auto collect = [&] {
                for (const Change& change : changes_) {
                    if (change.version > after && change.table == query["Table"])
                        rows.push_back(rowJson(change.table, change.key));
                }
                return !rows.empty();
            };
            changed_.wait_for(lock, std::chrono::milliseconds(std::strtol(query["WaitMs"].c_str(), nullptr, 10)), collect);
        } else if (path == "/-/rows-tx") {
            Json transaction = Json::parse(request.body);
            for (const Json& expected : transaction.value("ExpectedRev", Json::array())) {
                auto found = rows_.find({ expected["Table"], expected["Key"] });
                if ((found == rows_.end() ? 0 : found->second.version) != expected["Ver"].get<std::uint64_t>())
                    return { 412, Json { { "Ver", version_ }, { "NowMs", nowMilliseconds() }, { "Rows", Json::array({ rowJson(expected["Table"], expected["Key"]) }) } } };
            }
            ++version_;
            for (const Json& row : transaction.value("SetKeys", Json::array())) {
                rows_[{ row["Table"], row["Key"] }] = { decodeBase64(row["Value"]), version_ };
                changes_.push_back({ version_, row["Table"], row["Key"] });
            }
            for (const Json& row : transaction.value("Remove", Json::array())) {
                rows_.erase({ row["Table"], row["Key"] });
                changes_.push_back({ version_, row["Table"], row["Key"] });
            }
            changed_.notify_all();
        } else {
            return { 404, Json::object() };
        }
        return { 200, Json { { "Ver", version_ }, { "NowMs", nowMilliseconds() }, { "Rows", rows }, { "HasMore", false } } };
    }

    static std::int64_t nowMilliseconds() { return 1000 + static_cast<std::int64_t>(now() * 1000); }

    Address address_;
    Listener listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, Row> rows_;
    std::vector<Change> changes_;
    std::uint64_t version_ { 1 };
};

// An application engine of one service. It runs each request with an id, and answers as the pages say unless the hook decides
// otherwise.
class Engine {
public:
    // Called for each request, after it has run. Returns whether the engine goes on with the connection in its usual manner.
    using Hook = std::function<bool(Engine&, int socket, const Message& request)>;

    Engine(Store& store, const std::string& ip, std::string id, std::string service, int slots, double workSeconds, Hook hook = {})
        : address_ { ip, 0 }
        , id_(std::move(id))
        , workSeconds_(workSeconds)
        , hook_(std::move(hook))
    {
        listener_.start(address_, [this](int socket) { serve(socket); });
        std::int64_t born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        Json entry { { "Service", std::move(service) }, { "Address", address_.text() }, { "Zone", "z-a" }, { "Version", 1 }, { "Slots", slots }, { "State", "ready" },
            { "ColdRemainingMs", 0 }, { "Sequence", 1 }, { "born", born } };
        store.put("servers", id_, entry.dump());
    }

    const std::string& id() const { return id_; }

    // Requests by id, each with how often this engine ran it.
    std::map<std::string, int> runs()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return runs_;
    }
    int atWork() const { return atWork_; }

    std::string signatureOf(const std::string& requestId) const { return "sig." + id_ + "." + requestId; }
    std::string bodyOf(const std::string& requestId) const { return "answer of " + id_ + " to " + requestId; }

private:
    void serve(int socket)
    {
        Reader reader(socket);
        Message request;
        while (reader.read(request, false)) {
            std::string requestId = request.header("X-Damaskgrade-Request-Id");
            if (request.header("X-Damaskgrade-Expect-Instance") != id_ || requestId.empty()) {
                sendAll(socket, "HTTP/1.1 421 X\r\nX-Damaskgrade-Request-Id: " + requestId + "\r\nX-Damaskgrade-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            {
                std::lock_guard<std::mutex> lock(mutex_);
                ++runs_[requestId];
            }
            ++atWork_;
            record.write(id_ + " runs " + requestId + ": " + request.start + ", body of " + std::to_string(request.body.size()) + " bytes");
            sleepFor(workSeconds_);
            --atWork_;
            if (hook_ && !hook_(*this, socket, request))
                return;
            std::string body = bodyOf(requestId);
            bool isHead = request.word(0) == "HEAD";
            std::string head = "HTTP/1.1 200 OK\r\nX-Damaskgrade-Request-Id: " + requestId + "\r\nX-Damaskgrade-Response-Signature: " + signatureOf(requestId) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            if (!sendAll(socket, isHead ? head : head + body))
                return;
        }
    }

    Address address_;
    std::string id_;
    double workSeconds_;
    Hook hook_;
    Listener listener_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::atomic<int> atWork_ { 0 };
};

inline Json makeRoute(const std::string& name, const std::string& prefix, const std::string& service, const std::string& kind, int maxAttempts, int timeoutMilliseconds)
{
    return Json { { "Name", name }, { "Host", "h.example" }, { "Prefix", prefix }, { "Kind", kind }, { "TimeoutMs", timeoutMilliseconds }, { "TargetLatencyMs", 150 }, { "Priority", 2 },
        { "Service", service }, { "MaxAttempts", maxAttempts }, { "Public", false }, { "StickySessions", false }, { "StreamResume", false } };
}

constexpr const char* callerKey = "n2ctnfzs989anu6wsjnb";
constexpr const char* callerTenant = "hule930";

inline Json usualTenants() { return Json::array({ Json { { "Name", callerTenant }, { "ApiKeys", Json::array({ callerKey }) } } }); }

// The limits are those of the site file's example on the wire.
inline void putConfiguration(Store& store, const std::vector<Json>& routes, const std::string& service, const Json& tenants = usualTenants(), int version = 3)
{
    Json configuration { { "Version", version }, { "Routes", routes },
        { "Services", Json::array({ Json { { "Name", service }, { "HealthPath", "/health" }, { "MaxConnections", 100 }, { "Protocol", "h1" }, { "Tls", false } } }) },
        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } } }, { "Tenants", tenants } };
    store.put("op", "config", configuration.dump());
}

inline int connectTo(const Address& address, double timeoutSeconds)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval timeout { static_cast<time_t>(timeoutSeconds), static_cast<suseconds_t>((timeoutSeconds - static_cast<int>(timeoutSeconds)) * 1e6) };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in name = socketAddress(address);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

// The head of a request without its end, so that fields can be added.
inline std::string requestHead(const std::string& method, const std::string& target, const std::string& requestId, int deadlineMilliseconds)
{
    return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Damaskgrade-Request-Id: " + requestId + "\r\nX-Damaskgrade-Deadline-Ms: " + std::to_string(deadlineMilliseconds)
        + "\r\nAuthorization: Token " + callerKey + "\r\n";
}

// Returns the command of a role in the deploy file, which is read from the repository's root.
inline std::vector<std::string> roleCommand(const std::string& role)
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    bool isRole = false;
    while (std::getline(file, line)) {
        if (line.rfind("[", 0) == 0)
            isRole = line == "[roles." + role + "]";
        if (!isRole || line.rfind("run = \"", 0) != 0)
            continue;
        std::istringstream words(line.substr(7, line.rfind('"') - 7));
        std::vector<std::string> command;
        for (std::string word; words >> word;)
            command.push_back(word);
        return command;
    }
    cannotRun("deploy/system.toml has no role " + role);
}

// A gateway, started as a process of its own with the command of the deploy file.
class Gateway {
public:
    Gateway(const Store& store, const std::string& ip, const std::string& name)
    {
        char folder[] = "/tmp/review-3-XXXXXX";
        if (!::mkdtemp(folder))
            cannotRun("no temporary folder");
        folder_ = folder;
        std::vector<std::uint16_t> ports = freePorts(ip, 5);
        callers_ = { ip, ports[0] };
        readiness_ = { ip, ports[1] };
        std::ofstream settings(folder_ + "/settings.conf");
        settings << "NodeName=" << name << "\nRole=gateway\nMachineClass=edge\nServes=edge,directory\nIp=" << ip << "\nZone=z-a\nRegion=z\nZones.z-a=z\n"
                 << "Listen.Front=" << callers_.text() << "\nListen.Readiness=" << readiness_.text() << "\nListen.Directory=" << Address { ip, ports[2] }.text() << "\n"
                 << "InternalPorts=" << ports[4] << "," << ports[4] + 15 << "\nBootstrap=true\nHeartbeatMs=1200\n"
                 << "Limits.CpuShare=0.38\nLimits.CpuCores=1\nLimits.MemoryMb=390\nLimits.MaxFds=6300\nLimits.LinkMbps=1500.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=directory\n"
                 << "Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts\n"
                 << "Bounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.ConfigApplyMs=2000\nBounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.BudgetExtra=90\nBounds.ttl_max_s=5\n"
                 << "Platform.Address=" << store.address().text() << "\nPlatform.form=table\n";
        settings.close();
        std::vector<std::string> command = roleCommand("gateway");
        if (::access(command[0].c_str(), X_OK) != 0)
            cannotRun(command[0] + " is not built");
        std::string log = folder_ + "/gateway.log";
        process_ = ::fork();
        if (process_ == 0) {
            // The process ends with this program, whatever ends it.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
            ::dup2(descriptor, STDOUT_FILENO);
            ::dup2(descriptor, STDERR_FILENO);
            ::setenv("DAMASKGRADE_SETTINGS", (folder_ + "/settings.conf").c_str(), 1);
            std::vector<char*> arguments;
            for (std::string& word : command)
                arguments.push_back(word.data());
            arguments.push_back(nullptr);
            ::execv(arguments[0], arguments.data());
            std::_Exit(127);
        }
        waitUntilReady();
    }

    ~Gateway() { end(); }

    const Address& callers() const { return callers_; }
    pid_t process() const { return process_; }

    // Returns the wait status if the process has ended by itself.
    std::optional<int> ended()
    {
        int status = 0;
        if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_) {
            process_ = -1;
            return status;
        }
        return std::nullopt;
    }

    // Ends the process and removes its temporary folder.
    void end()
    {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
        ::unlink((folder_ + "/settings.conf").c_str());
        ::unlink((folder_ + "/gateway.log").c_str());
        ::rmdir(folder_.c_str());
    }

    // Returns the resident memory of the process in bytes.
    std::size_t residentBytes() const
    {
        std::ifstream status("/proc/" + std::to_string(process_) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.rfind("VmRSS:", 0) == 0)
                return static_cast<std::size_t>(std::strtoull(line.c_str() + 6, nullptr, 10)) * 1024;
        }
        return 0;
    }

private:
    void waitUntilReady()
    {
        for (int i = 0; i < 200; ++i) {
            sleepFor(0.05);
            int socket = connectTo(readiness_, 1);
            if (socket < 0)
                continue;
            Message answer;
            bool isReady = sendAll(socket, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") && Reader(socket).read(answer, true) && answer.status() == 200;
            ::close(socket);
            if (isReady) {
                record.write("the gateway is ready");
                return;
            }
        }
        end();
        cannotRun("the gateway does not get ready");
    }

    std::string folder_;
    Address callers_;
    Address readiness_;
    pid_t process_ { -1 };
};

// Writes the verdict and returns the exit code of the script.
inline int verdict(bool isBroken, const std::string& text)
{
    record.write(std::string(isBroken ? "BROKEN: " : "held: ") + text);
    std::fprintf(stderr, "%s: %s\n", isBroken ? "broken" : "held", text.c_str());
    return isBroken ? exitBroken : exitHeld;
}

}
