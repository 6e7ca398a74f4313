#pragma once

// Stand-ins of the users' platform for the cases 6 to 10: the metadata store, and helpers for servers and clients. Each
// connection has its own thread and uses blocking sockets.

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace Kit {

using Json = nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;
using namespace std::chrono_literals;

inline const SteadyTime programStart = std::chrono::steady_clock::now();

inline double secondsOf(SteadyTime time) { return std::chrono::duration<double>(time - programStart).count(); }
inline double now() { return secondsOf(std::chrono::steady_clock::now()); }
inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds))); }
inline void sleepUntil(double time) { sleepFor(time - now()); }

// The file that lists what was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path, std::ios::trunc)
    {
    }

    void write(const std::string& text)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f s  ", now());
        file_ << time << text << "\n";
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

// A loopback network that no other running case uses, with free ports.
inline std::string loopback(int host)
{
    int process = static_cast<int>(getpid());
    return "127." + std::to_string(20 + process % 200) + "." + std::to_string(process / 200 % 250 + 1) + "." + std::to_string(host);
}

inline sockaddr_in socketAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// Returns -1 if the address is in use.
inline int listenOn(const std::string& ip, int port)
{
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = socketAddress(ip, port);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(listener, 512) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

inline int freePort(const std::string& ip, int count = 1)
{
    for (int port = 21000 + static_cast<int>(getpid()) % 9000; port < 60000; port += count) {
        bool isFree = true;
        for (int i = 0; i < count && isFree; ++i) {
            int listener = listenOn(ip, port + i);
            isFree = listener >= 0;
            if (listener >= 0)
                close(listener);
        }
        if (isFree)
            return port;
    }
    std::cerr << "no free port\n";
    std::exit(2);
}

// Returns -1 if no connection is open within the time.
inline int connectTo(const std::string& ip, int port, double timeout)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address = socketAddress(ip, port);
    int result = connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (result != 0 && errno == EINPROGRESS) {
        pollfd wait { descriptor, POLLOUT, 0 };
        poll(&wait, 1, static_cast<int>(timeout * 1000));
        int failure = 0;
        socklen_t size = sizeof failure;
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
        result = (wait.revents & POLLOUT) && failure == 0 ? 0 : -1;
    }
    if (result != 0) {
        close(descriptor);
        return -1;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline void resetConnection(int descriptor)
{
    linger option { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;
    // The message has ended as its framing says.
    bool isComplete { false };

    std::string header(const std::string& name) const
    {
        auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    int status() const { return startLine.size() > 11 ? std::atoi(startLine.c_str() + 9) : 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        std::size_t begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
};

// Reads the messages on one connection.
class Reader {
public:
    explicit Reader(int descriptor)
        : descriptor_(descriptor)
    {
    }

    // Limits the rate at which bytes are taken from the connection; 0 is no limit.
    void setRate(double bytesPerSecond) { bytesPerSecond_ = bytesPerSecond; }

    // Returns whether a head has been read before the deadline.
    bool readHead(Message& message, double deadline)
    {
        message = {};
        while (buffer_.find("\r\n\r\n") == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        std::size_t end = buffer_.find("\r\n\r\n");
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        std::size_t line = head.find("\r\n");
        message.startLine = head.substr(0, line);
        for (std::size_t at = line + 2; at < head.size();) {
            std::size_t next = head.find("\r\n", at);
            std::size_t colon = head.find(':', at);
            if (colon != std::string::npos && colon < next) {
                std::string name = head.substr(at, colon - at);
                for (char& character : name)
                    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
                std::size_t value = head.find_first_not_of(' ', colon + 1);
                message.headers[name] = value < next ? head.substr(value, next - value) : "";
            }
            at = next + 2;
        }
        return true;
    }

    // Reads the body. It has the length that the head states, or chunks; otherwise it is empty.
    bool readBody(Message& message, double deadline)
    {
        if (message.header("transfer-encoding").find("chunked") != std::string::npos)
            return readChunks(message, deadline);
        std::size_t length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        message.isComplete = take(length, message.body, deadline);
        return message.isComplete;
    }

    bool isClosed() const { return isClosed_; }

private:
    bool readChunks(Message& message, double deadline)
    {
        while (true) {
            while (buffer_.find("\r\n") == std::string::npos) {
                if (!fill(deadline))
                    return false;
            }
            std::size_t size = static_cast<std::size_t>(std::strtoul(buffer_.c_str(), nullptr, 16));
            buffer_.erase(0, buffer_.find("\r\n") + 2);
            std::string end;
            if (size > 0 && !take(size, message.body, deadline))
                return false;
            if (!take(2, end, deadline) || end != "\r\n")
                return false;
            if (size == 0) {
                message.isComplete = true;
                return true;
            }
        }
    }

    bool take(std::size_t count, std::string& target, double deadline)
    {
        while (buffer_.size() < count) {
            if (!fill(deadline)) {
                target += buffer_;
                buffer_.clear();
                return false;
            }
        }
        target += buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }

    bool fill(double deadline)
    {
        pollfd wait { descriptor_, POLLIN, 0 };
        double left = deadline - now();
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char bytes[65536];
        std::size_t most = sizeof bytes;
        if (bytesPerSecond_ > 0)
            most = std::min(most, static_cast<std::size_t>(bytesPerSecond_ / 20));
        ssize_t count = recv(descriptor_, bytes, most, 0);
        if (count <= 0) {
            isClosed_ = true;
            return false;
        }
        if (bytesPerSecond_ > 0)
            sleepFor(static_cast<double>(count) / bytesPerSecond_);
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int descriptor_;
    std::string buffer_;
    double bytesPerSecond_ { 0 };
    bool isClosed_ { false };
};

// Accepts connections and handles each one in a thread. The listener can be closed and opened again.
class Server {
public:
    using Handler = std::function<void(int descriptor)>;

    Server(std::string ip, int port, Handler handler)
        : ip_(std::move(ip))
        , port_(port)
        , handler_(std::move(handler))
    {
    }

    bool open()
    {
        int listener = listenOn(ip_, port_);
        if (listener < 0)
            return false;
        listener_ = listener;
        std::thread([this, listener] {
            while (true) {
                int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0)
                    return;
                int one = 1;
                setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                {
                    std::lock_guard<std::mutex> lock(mutex_);
                    open_.insert(descriptor);
                }
                std::thread([this, descriptor] {
                    handler_(descriptor);
                    std::lock_guard<std::mutex> lock(mutex_);
                    open_.erase(descriptor);
                    close(descriptor);
                }).detach();
            }
        }).detach();
        return true;
    }

    // Ends like a process that crashes: nobody listens, and all connections are reset.
    void crash()
    {
        int listener = listener_.exchange(-1);
        shutdown(listener, SHUT_RDWR);
        close(listener);
        std::lock_guard<std::mutex> lock(mutex_);
        for (int descriptor : open_) {
            resetConnection(descriptor);
            // Disconnecting sends the reset at once, while the thread of the connection still has the descriptor.
            sockaddr none {};
            none.sa_family = AF_UNSPEC;
            connect(descriptor, &none, sizeof none);
        }
    }

private:
    std::string ip_;
    int port_;
    Handler handler_;
    std::atomic<int> listener_ { -1 };
    std::mutex mutex_;
    std::set<int> open_;
};

inline std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            value |= static_cast<unsigned>(static_cast<unsigned char>(bytes[i + 1])) << 8;
        if (i + 2 < bytes.size())
            value |= static_cast<unsigned char>(bytes[i + 2]);
        text += digits[value >> 18];
        text += digits[value >> 12 & 63];
        text += i + 1 < bytes.size() ? digits[value >> 6 & 63] : '=';
        text += i + 2 < bytes.size() ? digits[value & 63] : '=';
    }
    return text;
}

inline std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos && at + 1 < target.size()) {
        std::size_t end = target.find('&', at + 1);
        std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        std::size_t equals = pair.find('=');
        std::string value;
        for (std::size_t i = equals + 1; equals != std::string::npos && i < pair.size(); ++i) {
            if (pair[i] == '%' && i + 2 < pair.size()) {
                value += static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                value += pair[i];
            }
        }
        query[pair.substr(0, equals)] = value;
        at = end;
    }
    return query;
}

// The platform's metadata store: rows with versions, transactions under conditions, and feeds. Every call takes 4 ms.
class Store {
public:
    Store(const std::string& ip, int port)
        : server_(ip, port, [this](int descriptor) { serve(descriptor); })
    {
        if (!server_.open()) {
            std::cerr << "the store can't listen\n";
            std::exit(2);
        }
    }

    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        set(table, key, base64(value), false);
    }

    void remove(const std::string& table, const std::string& key)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        set(table, key, "", true);
    }

private:
    struct Row {
        std::uint64_t version { 0 };
        std::string value;
        bool isRemoved { true };
    };

    void set(const std::string& table, const std::string& key, const std::string& value, bool isRemoved)
    {
        rows_[table][key] = { ++version_, value, isRemoved };
        changed_.notify_all();
    }

    Json rowJson(const std::string& table, const std::string& key, const Row& row) const
    {
        Json json { { "Table", table }, { "part", "" }, { "Key", key }, { "Ver", row.version } };
        if (row.isRemoved)
            json["Tombstone"] = true;
        else
            json["Value"] = row.value;
        return json;
    }

    void serve(int descriptor)
    {
        Reader reader(descriptor);
        Message request;
        while (reader.readHead(request, now() + 100) && reader.readBody(request, now() + 5)) {
            sleepFor(0.004);
            int status = 200;
            Json answer = handle(request, status);
            std::string body = answer.dump();
            std::string head = "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            if (!sendAll(descriptor, head + body) || request.header("connection") == "close")
                return;
        }
    }

    Json handle(const Message& request, int& status)
    {
        std::string path = request.target().substr(0, request.target().find('?'));
        std::map<std::string, std::string> query = queryOf(request.target());
        std::unique_lock<std::mutex> lock(mutex_);
        Json answer { { "Rows", Json::array() } };
        if (path == "/-/rows-get") {
            for (const auto& [key, row] : rows_[query["Table"]]) {
                if (!row.isRemoved && key >= query["From"] && (query["Target"].empty() || key < query["Target"]))
                    answer["Rows"].push_back(rowJson(query["Table"], key, row));
            }
            answer["HasMore"] = false;
        } else if (path == "/-/rows-feed") {
            std::uint64_t after = std::strtoull(query["AfterRev"].c_str(), nullptr, 10);
            auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::atoi(query["WaitMs"].c_str()));
            auto hasChanged = [&] {
                for (const auto& [key, row] : rows_[query["Table"]]) {
                    if (row.version > after)
                        return true;
                }
                return false;
            };
            changed_.wait_until(lock, end, hasChanged);
            std::map<std::uint64_t, Json> ordered;
            for (const auto& [key, row] : rows_[query["Table"]]) {
                if (row.version > after)
                    ordered[row.version] = rowJson(query["Table"], key, row);
            }
            for (const auto& [version, row] : ordered)
                answer["Rows"].push_back(row);
        } else if (path == "/-/rows-tx") {
            Json body = Json::parse(request.body);
            for (const Json& condition : body.value("ExpectedRev", Json::array())) {
                const Row& row = rows_[condition.at("Table")][condition.at("Key")];
                if ((row.isRemoved ? 0 : row.version) != condition.at("Ver").get<std::uint64_t>())
                    status = 412;
            }
            if (status == 200) {
                for (const Json& row : body.value("SetKeys", Json::array()))
                    set(row.at("Table"), row.at("Key"), row.at("Value"), false);
                for (const Json& row : body.value("Remove", Json::array()))
                    set(row.at("Table"), row.at("Key"), "", true);
            }
        } else {
            status = 404;
        }
        answer["Ver"] = version_;
        answer["NowMs"] = static_cast<std::int64_t>(now() * 1000) + 1000;
        return answer;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t version_ { 0 };
    std::map<std::string, std::map<std::string, Row>> rows_;
    Server server_;
};

// The processes that run, so that they also end if the driver is ended by a signal.
inline std::array<std::atomic<pid_t>, 64> startedProcesses {};

inline void endStartedProcesses(int)
{
    for (std::atomic<pid_t>& id : startedProcesses) {
        if (id > 0)
            kill(id, SIGKILL);
    }
    _exit(2);
}

inline void endProcessesOnSignal()
{
    signal(SIGTERM, endStartedProcesses);
    signal(SIGINT, endStartedProcesses);
}

// A process that the case has started. It is ended by its id.
class Process {
public:
    Process(std::vector<std::string> words, std::vector<std::string> variables, const std::string& logPath)
    {
        std::vector<char*> arguments;
        for (std::string& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        std::vector<std::string> kept = std::move(variables);
        for (const char* name : { "PATH", "HOME", "LANG" }) {
            if (const char* value = std::getenv(name))
                kept.push_back(std::string(name) + "=" + value);
        }
        std::vector<char*> environment;
        for (std::string& variable : kept)
            environment.push_back(variable.data());
        environment.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (posix_spawn(&id_, arguments[0], &actions, nullptr, arguments.data(), environment.data()) != 0) {
            std::cerr << "cannot start " << words[0] << "\n";
            std::exit(2);
        }
        posix_spawn_file_actions_destroy(&actions);
        for (std::atomic<pid_t>& id : startedProcesses) {
            pid_t none = 0;
            if (id.compare_exchange_strong(none, id_))
                break;
        }
    }

    ~Process() { end(); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t id() const { return id_; }
    void signal(int number) const
    {
        if (isRunning_)
            kill(id_, number);
    }

    bool isRunning()
    {
        if (isRunning_ && waitpid(id_, &status_, WNOHANG) == id_)
            forget();
        return isRunning_;
    }

    void end()
    {
        if (!isRunning())
            return;
        kill(id_, SIGCONT);
        kill(id_, SIGKILL);
        waitpid(id_, &status_, 0);
        forget();
    }

    // Returns the resident memory in bytes.
    std::size_t memory() const
    {
        std::ifstream file("/proc/" + std::to_string(id_) + "/statm");
        std::size_t size = 0;
        std::size_t resident = 0;
        file >> size >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }

private:
    void forget()
    {
        isRunning_ = false;
        for (std::atomic<pid_t>& id : startedProcesses) {
            pid_t own = id_;
            if (id.compare_exchange_strong(own, 0))
                break;
        }
    }

    pid_t id_ { -1 };
    bool isRunning_ { true };
    int status_ { 0 };
};

struct GatewayAddress {
    std::string ip;
    int callers { 0 };
    int readiness { 0 };
};

// The settings of the processes of a deployment of a few machines, with the bounds of the sheet of Vitosha.
class Deployment {
public:
    Deployment(const std::string& folder, const std::string& program)
        : folder_(folder)
        , program_(program)
        , storeIp_(loopback(250))
        , storePort_(freePort(storeIp_))
        , store_(storeIp_, storePort_)
    {
        for (int i = 0; i < 4; ++i)
            ips_.push_back(loopback(1 + i));
        callers_ = freePort(ips_[0]);
        readiness_ = freePort(ips_[0]) + 1;
        internal_ = freePort(ips_[0], 16) + 16;
    }

    Store& store() { return store_; }

    GatewayAddress gatewayAddress(int index) const { return { ips_.at(static_cast<std::size_t>(index)), callers_, readiness_ }; }

    std::unique_ptr<Process> startGateway(int index, int memoryMb = 390)
    {
        const std::string& ip = ips_.at(static_cast<std::size_t>(index));
        std::string name = "edge-" + std::to_string(index + 1);
        std::string path = folder_ + "/" + name + ".conf";
        std::ofstream file(path);
        file << "NodeName=" << name << "\nRole=gateway\nMachineClass=edge\nServes=edge,directory\nIp=" << ip << "\nZone=zone-a\nRegion=region\nZones.zone-a=region\n"
             << "Listen.Front=" << ip << ":" << callers_ << "\nListen.Readiness=" << ip << ":" << readiness_ << "\nListen.Directory=" << ip << ":" << readiness_ + 1 << "\n"
             << "Listen.Control=" << ip << ":" << readiness_ + 2 << "\nInternalPorts=" << internal_ << "," << internal_ + 15 << "\n"
             << "SeedNodes=" << ips_[0] << ":" << readiness_ + 2 << "," << ips_[1] << ":" << readiness_ + 2 << "\nBootstrap=true\nLimits.CpuShare=0.38\nLimits.MemoryMb=" << memoryMb << "\nLimits.MaxFds=6300\n"
             << "Discovery=platform\nEntry=directory\nHeartbeatMs=1200\nBounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.ConfigApplyMs=2000\n"
             << "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.BudgetExtra=90\nBounds.ttl_max_s=5\nPlatform.Address=" << storeIp_ << ":" << storePort_ << "\n";
        file.close();
        return std::make_unique<Process>(std::vector<std::string> { program_, "platform-gateway" }, std::vector<std::string> { "DAMASKGRADE_SETTINGS=" + path }, folder_ + "/" + name + ".log");
    }

    // Waits until the gateway says that it is ready.
    bool awaitReady(int index, double timeout = 10) const
    {
        double end = now() + timeout;
        while (now() < end) {
            int descriptor = connectTo(ips_.at(static_cast<std::size_t>(index)), readiness_, 0.5);
            if (descriptor >= 0) {
                Message answer;
                sendAll(descriptor, "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
                Reader reader(descriptor);
                bool isReady = reader.readHead(answer, now() + 1) && answer.status() == 200;
                close(descriptor);
                if (isReady)
                    return true;
            }
            sleepFor(0.05);
        }
        return false;
    }

private:
    std::string folder_;
    std::string program_;
    std::string storeIp_;
    int storePort_;
    Store store_;
    std::vector<std::string> ips_;
    int callers_ { 0 };
    int readiness_ { 0 };
    int internal_ { 0 };
};

inline std::string serverEntry(const std::string& service, const std::string& ip, int port, int slots, std::int64_t born, std::uint64_t sequence, const std::string& state = "ready")
{
    return Json { { "Service", service }, { "Address", ip + ":" + std::to_string(port) }, { "Zone", "zone-a" }, { "Version", 1 }, { "Slots", slots }, { "State", state }, { "ColdRemainingMs", 0 }, { "Sequence", sequence }, { "born", born } }.dump();
}

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline bool isTroubleOn()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

}
