// Stand-ins for the platform's store, engines and clients, and helpers to run the project's programs.
// Everything listens on loopback addresses. One thread serves one connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace StandIns {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// The record of a run: what was sent, answered and run, with the time in ms since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(std::fopen(path.c_str(), "w"))
    {
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::lock_guard<std::mutex> lock(mutex_);
        if (file_) {
            std::fprintf(file_, "%7lld %s\n", static_cast<long long>(nowMs()), text);
            std::fflush(file_);
        }
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

// Address and port.
struct Address {
    std::string ip;
    int port { 0 };
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

inline bool isPortFree(int port)
{
    constexpr int lastAddress = 20;
    for (int address = 1; address <= lastAddress; ++address) {
        int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in target = socketAddress({ "127.0.0." + std::to_string(address), port });
        bool isFree = bind(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0;
        close(descriptor);
        if (!isFree)
            return false;
    }
    return true;
}

// Returns the first of count consecutive ports that are free on the loopback addresses of a case.
inline int freePorts(int count)
{
    for (int base = 21000 + (static_cast<int>(getpid()) * 37) % 20000; base < 60000; base += count) {
        bool areFree = true;
        for (int port = base; port < base + count && areFree; ++port)
            areFree = isPortFree(port);
        if (areFree)
            return base;
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(2);
}

struct Message {
    // First line of the message, and for a request its method and target.
    std::string startLine;
    std::string method;
    std::string target;
    int status { 0 };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return "";
    }
};

// A socket with buffered reads and a time limit for each read.
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        int one = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Connection() { closeNow(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void closeNow()
    {
        int descriptor = descriptor_.exchange(-1);
        if (descriptor >= 0)
            close(descriptor);
    }

    // Closes with a reset.
    void reset()
    {
        linger option { 1, 0 };
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        closeNow();
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads more bytes into the buffer. Returns 1 for bytes, 0 for the end of the connection or a reset, -1 for a timeout.
    int fill(int timeoutMs)
    {
        pollfd entry { descriptor_, POLLIN, 0 };
        int ready = poll(&entry, 1, timeoutMs);
        if (ready == 0)
            return -1;
        char bytes[65536];
        ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, 0);
        if (count < 0)
            wasReset_ = true;
        if (count <= 0)
            return 0;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return 1;
    }

    // Whether the peer has closed the connection.
    bool isClosed()
    {
        char byte;
        ssize_t count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string& buffer() { return buffer_; }
    bool wasReset() const { return wasReset_; }

    // Reads a line without its end. Returns nothing at the end of the connection or after the timeout.
    std::optional<std::string> readLine(int timeoutMs)
    {
        while (true) {
            std::size_t end = buffer_.find("\r\n");
            if (end != std::string::npos) {
                std::string line = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return line;
            }
            if (fill(timeoutMs) <= 0)
                return std::nullopt;
        }
    }

    bool readBytes(std::size_t count, std::string& target, int timeoutMs)
    {
        while (buffer_.size() < count) {
            if (fill(timeoutMs) <= 0)
                return false;
        }
        target.append(buffer_, 0, count);
        buffer_.erase(0, count);
        return true;
    }

    std::optional<Message> readHead(int timeoutMs)
    {
        std::optional<std::string> first = readLine(timeoutMs);
        if (!first)
            return std::nullopt;
        Message message;
        message.startLine = *first;
        while (true) {
            std::optional<std::string> line = readLine(timeoutMs);
            if (!line)
                return std::nullopt;
            if (line->empty())
                break;
            std::size_t colon = line->find(':');
            std::string value = colon == std::string::npos ? "" : line->substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t") == std::string::npos ? value.size() : value.find_first_not_of(" \t"));
            message.headers.push_back({ line->substr(0, colon), value });
        }
        return message;
    }

    std::optional<Message> readRequest(int timeoutMs)
    {
        std::optional<Message> message = readHead(timeoutMs);
        if (!message)
            return std::nullopt;
        std::size_t first = message->startLine.find(' ');
        std::size_t last = message->startLine.rfind(' ');
        if (first == std::string::npos || last <= first)
            return std::nullopt;
        message->method = message->startLine.substr(0, first);
        message->target = message->startLine.substr(first + 1, last - first - 1);
        std::string length = message->header("Content-Length");
        if (!length.empty() && !readBytes(std::strtoul(length.c_str(), nullptr, 10), message->body, timeoutMs))
            return std::nullopt;
        return message;
    }

private:
    std::atomic<int> descriptor_;
    std::string buffer_;
    bool wasReset_ { false };
};

// Connects, or returns null after the timeout or a refusal.
inline std::shared_ptr<Connection> connectTo(const Address& address, int timeoutMs = 1000)
{
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in target = socketAddress(address);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
        close(descriptor);
        return nullptr;
    }
    return std::make_shared<Connection>(descriptor);
}

// Accepts connections and runs the handler for each in a thread of its own. Lives until the process ends.
class Listener {
public:
    using Handler = std::function<void(const std::shared_ptr<Connection>&)>;

    Listener(const Address& address, Handler handler)
        : handler_(std::move(handler))
    {
        descriptor_ = socket(AF_INET, SOCK_STREAM, 0);
        int one = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in target = socketAddress(address);
        if (bind(descriptor_, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0 || listen(descriptor_, 256) != 0) {
            std::fprintf(stderr, "cannot listen on %s\n", address.text().c_str());
            std::exit(2);
        }
        std::thread([this] { accept(); }).detach();
    }

private:
    void accept()
    {
        while (true) {
            int descriptor = ::accept(descriptor_, nullptr, nullptr);
            if (descriptor < 0)
                continue;
            auto connection = std::make_shared<Connection>(descriptor);
            std::thread([this, connection] { handler_(connection); }).detach();
        }
    }

    int descriptor_ { -1 };
    Handler handler_;
};

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[value >> (18 - 6 * j) & 63];
    }
    return text;
}

inline std::string queryValue(const std::string& target, const std::string& name)
{
    std::size_t position = target.find('?');
    while (position != std::string::npos) {
        std::size_t end = target.find('&', position + 1);
        std::string pair = target.substr(position + 1, end == std::string::npos ? std::string::npos : end - position - 1);
        if (pair.compare(0, name.size() + 1, name + "=") == 0) {
            std::string decoded;
            for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    decoded += static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    decoded += pair[i];
                }
            }
            return decoded;
        }
        position = end;
    }
    return "";
}

inline std::string jsonResponse(int status, const Json& body)
{
    std::string text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

// The platform's store: tables of rows with conditional transactions and a feed.
class Store {
public:
    Store(const Address& address, Record& record)
        : record_(record)
        , listener_(address, [this](const std::shared_ptr<Connection>& connection) { serve(connection); })
    {
    }

    // Writes of the operator and of the engines, which need no condition.
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        rows_[{ table, key }] = { base64(value), ++version_, false };
        changed_.notify_all();
    }

    void remove(const std::string& table, const std::string& key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        rows_[{ table, key }] = { "", ++version_, true };
        changed_.notify_all();
    }

private:
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool isRemoved { false };
    };
    using Key = std::pair<std::string, std::string>;

    static Json rowJson(const Key& key, const Row& row)
    {
        Json json = { { "Table", key.first }, { "part", "" }, { "Key", key.second }, { "Ver", row.version } };
        if (row.isRemoved)
            json["Tombstone"] = true;
        else
            json["Value"] = row.value;
        return json;
    }

    void serve(const std::shared_ptr<Connection>& connection)
    {
        while (std::optional<Message> request = connection->readRequest(600000)) {
            std::string path = request->target.substr(0, request->target.find('?'));
            std::string response;
            if (path == "/-/rows-get")
                response = get(*request);
            else if (path == "/-/rows-feed")
                response = feed(*request);
            else if (path == "/-/rows-tx")
                response = transact(*request);
            else
                response = jsonResponse(404, Json::object());
            if (!connection->send(response))
                return;
            if (strcasecmp(request->header("Connection").c_str(), "close") == 0)
                return;
        }
    }

    std::string get(const Message& request)
    {
        std::string table = queryValue(request.target, "Table");
        std::string from = queryValue(request.target, "From");
        std::string target = queryValue(request.target, "Target");
        std::lock_guard<std::mutex> lock(mutex_);
        Json rows = Json::array();
        for (const auto& [key, row] : rows_) {
            if (key.first == table && !row.isRemoved && key.second >= from && (target.empty() || key.second < target))
                rows.push_back(rowJson(key, row));
        }
        return jsonResponse(200, { { "Rows", rows }, { "HasMore", false }, { "Ver", version_ }, { "NowMs", nowMs() } });
    }

    std::string feed(const Message& request)
    {
        std::string table = queryValue(request.target, "Table");
        std::uint64_t after = std::strtoull(queryValue(request.target, "AfterRev").c_str(), nullptr, 10);
        Clock::time_point end = Clock::now() + std::chrono::milliseconds(std::strtol(queryValue(request.target, "WaitMs").c_str(), nullptr, 10));
        std::unique_lock<std::mutex> lock(mutex_);
        while (true) {
            Json rows = Json::array();
            for (const auto& [key, row] : rows_) {
                if (key.first == table && row.version > after)
                    rows.push_back(rowJson(key, row));
            }
            if (!rows.empty() || Clock::now() >= end)
                return jsonResponse(200, { { "Rows", rows }, { "Ver", version_ }, { "NowMs", nowMs() } });
            changed_.wait_until(lock, end);
        }
    }

    std::string transact(const Message& request)
    {
        Json body = Json::parse(request.body);
        std::lock_guard<std::mutex> lock(mutex_);
        bool holds = true;
        Json current = Json::array();
        for (const Json& expected : body.value("ExpectedRev", Json::array())) {
            Key key { expected.at("Table"), expected.at("Key") };
            auto found = rows_.find(key);
            bool exists = found != rows_.end() && !found->second.isRemoved;
            holds = holds && (exists ? found->second.version : 0) == expected.at("Ver").get<std::uint64_t>();
            if (exists)
                current.push_back(rowJson(key, found->second));
        }
        if (!holds)
            return jsonResponse(412, { { "Rows", current }, { "Ver", version_ }, { "NowMs", nowMs() } });
        ++version_;
        for (const Json& row : body.value("SetKeys", Json::array()))
            rows_[{ row.at("Table"), row.at("Key") }] = { row.at("Value"), version_, false };
        for (const Json& row : body.value("Remove", Json::array()))
            rows_[{ row.at("Table"), row.at("Key") }] = { "", version_, true };
        changed_.notify_all();
        return jsonResponse(200, { { "Ver", version_ }, { "NowMs", nowMs() } });
    }

    Record& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::uint64_t version_ { 0 };
    Listener listener_;
};

// A process of the project, started with the words of the deploy file.
class Process {
public:
    Process(const std::string& command, const std::string& settingsPath, const std::string& logPath)
        : pid_(fork())
    {
        if (pid_ != 0)
            return;
        // Ends with this program, also if that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        std::freopen(logPath.c_str(), "a", stdout);
        dup2(fileno(stdout), 2);
        setenv("DAMASKGRADE_SETTINGS", settingsPath.c_str(), 1);
        std::vector<std::string> words;
        std::size_t start = 0;
        while (start < command.size()) {
            std::size_t end = std::min(command.find(' ', start), command.size());
            if (end > start)
                words.push_back(command.substr(start, end - start));
            start = end + 1;
        }
        std::vector<char*> arguments;
        for (std::string& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        execv(arguments[0], arguments.data());
        _exit(127);
    }

    // Ends the process if it still runs.
    ~Process()
    {
        if (isRunning()) {
            kill(pid_, SIGKILL);
            waitpid(pid_, &status_, 0);
        }
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) { kill(pid_, number); }

    bool isRunning()
    {
        if (!hasEnded_)
            hasEnded_ = waitpid(pid_, &status_, WNOHANG) == pid_;
        return !hasEnded_;
    }

    // Valid once the process has ended.
    std::string ending() const
    {
        return WIFSIGNALED(status_) ? "signal " + std::to_string(WTERMSIG(status_)) : "status " + std::to_string(WEXITSTATUS(status_));
    }

private:
    pid_t pid_;
    int status_ { 0 };
    bool hasEnded_ { false };
};

struct GatewayAddresses {
    Address front;
    Address readiness;
    Address directory;
};

// Writes the settings of a gateway like those of a small deployment. All gateways use the same ports on addresses of their own.
inline GatewayAddresses writeGatewaySettings(const std::string& path, const std::string& name, const std::string& ip, const std::string& zone, int basePort, const std::string& seeds, const Address& store)
{
    GatewayAddresses addresses { { ip, basePort }, { ip, basePort + 1 }, { ip, basePort + 2 } };
    std::ofstream file(path);
    file << "NodeName=" << name << "\nRole=gateway\nMachineClass=edge\nServes=edge,directory\nIp=" << ip << "\nZone=" << zone << "\nRegion=sul\n"
         << "Zones.sul-a=sul\nZones.sul-b=sul\nZones.sul-c=sul\n"
         << "Listen.Front=" << addresses.front.text() << "\nListen.Readiness=" << addresses.readiness.text() << "\nListen.Directory=" << addresses.directory.text() << "\n"
         << "InternalPorts=" << basePort + 3 << "," << basePort + 8 << "\nSeedNodes=" << seeds << "\nBootstrap=true\nInTolerance=false\n"
         << "Limits.CpuShare=0.5\nLimits.CpuCores=1\nLimits.MemoryMb=520\nLimits.MaxFds=8200\nLimits.LinkMbps=2000.0\nLimits.DiskMb=0\n"
         << "Discovery=platform\nEntry=directory\nHeartbeatMs=1200\nContracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts\n"
         << "FaultTolerance.Machines=1\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0\n"
         << "Bounds.SeedLagS=3\nBounds.AddrReuseS=2\nBounds.ContactMs=3000\nBounds.AckTimeoutMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\n"
         << "Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.RollbackSlackMs=250\nBounds.MaxStretchMs=5000\nBounds.StrictRevoke=false\nBounds.RevokeMs=5000\n"
         << "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.BudgetExtra=94\nBounds.RecoveryS=12\nBounds.PassMs=120\nBounds.RetryAfterS=0\nBounds.stall_ms=1500\n"
         << "Bounds.FencingRequired=true\nBounds.ttl_max_s=5\nPlatform.Address=" << store.text() << "\nPlatform.form=table\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n"
         << "Platform.TxMs=5.0\nPlatform.PartWritesS=200\nPlatform.RowBytes=65536\nPlatform.Across=false\nPlatform.HistoryS=20\n";
    return addresses;
}

// Waits until the gateway says that it is ready.
inline bool waitUntilReady(const Address& readiness, int timeoutMs)
{
    std::int64_t end = nowMs() + timeoutMs;
    while (nowMs() < end) {
        if (std::shared_ptr<Connection> connection = connectTo(readiness)) {
            connection->send("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            std::optional<Message> head = connection->readHead(500);
            if (head && head->startLine.find(" 200") != std::string::npos)
                return true;
        }
        sleepMs(50);
    }
    return false;
}

struct Response {
    int status { 0 };
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // The response ended as its framing says.
    bool isComplete { false };
    // The wait ended before the response.
    bool hasTimedOut { false };
    // When each event arrived.
    std::vector<std::int64_t> eventTimes;

    std::string header(const std::string& name) const
    {
        Message message;
        message.headers = headers;
        return message.header(name);
    }
};

// Reads a response. Ends early if nothing arrives for silenceMs.
inline Response readResponse(Connection& connection, int silenceMs)
{
    Response response;
    std::int64_t begin = nowMs();
    std::optional<Message> head = connection.readHead(silenceMs);
    if (!head) {
        response.hasTimedOut = nowMs() - begin >= silenceMs;
        return response;
    }
    response.headers = head->headers;
    response.status = std::atoi(head->startLine.c_str() + std::min<std::size_t>(9, head->startLine.size()));
    std::string length = head->header("Content-Length");
    if (strcasecmp(head->header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            begin = nowMs();
            std::optional<std::string> size = connection.readLine(silenceMs);
            if (!size) {
                response.hasTimedOut = nowMs() - begin >= silenceMs;
                return response;
            }
            std::size_t bytes = std::strtoul(size->c_str(), nullptr, 16);
            std::string chunk;
            if (!connection.readBytes(bytes + 2, chunk, silenceMs))
                return response;
            if (bytes == 0)
                break;
            response.body.append(chunk, 0, bytes);
            response.eventTimes.push_back(nowMs());
        }
        response.isComplete = true;
    } else if (!length.empty()) {
        response.isComplete = connection.readBytes(std::strtoul(length.c_str(), nullptr, 10), response.body, silenceMs);
    }
    return response;
}

inline std::string environmentOr(const char* name, const std::string& defaultValue)
{
    const char* value = std::getenv(name);
    return value ? value : defaultValue;
}

}
