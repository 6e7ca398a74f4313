#include "Timeline/TimelineFetcher.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::size_t maxObjects = 10000;
// Limits concurrent reads, so that other users of the object store are not slowed down.
constexpr std::size_t maxParallelReads = 16;

// One fetch in progress. Its pending callbacks keep it alive until the last response.
class Fetch : public std::enable_shared_from_this<Fetch> {
public:
    Fetch(ObjectStore& store, HttpClient& client, HybridTime from, TimelineFetcher::Done done)
        : store_(store)
        , client_(client)
        , from_(from)
        , done_(std::move(done))
    {
    }

    void start(const std::vector<Endpoint>& processes)
    {
        pending_ = processes.size() + 1;
        auto self = shared_from_this();
        store_.list(timelineKeyPrefix, [self](ResultCode result, const std::vector<std::string>& keys) { self->handleKeys(result, keys); });
        for (const Endpoint& process : processes)
            readProcess(process);
    }

private:
    void handleKeys(ResultCode result, const std::vector<std::string>& keys)
    {
        if (result != ResultCode::Ok)
            reader_.addUnreadable();
        for (const std::string& key : keys) {
            std::optional<HybridTime> lastTime = lastTimeOfKey(key);
            if (lastTime && *lastTime >= from_)
                keys_.push_back(key);
        }
        std::size_t objectCount = std::min(keys_.size(), maxObjects);
        for (std::size_t skipped = objectCount; skipped < keys_.size(); ++skipped)
            reader_.addUnreadable();
        keys_.erase(keys_.begin(), keys_.end() - static_cast<std::ptrdiff_t>(objectCount));
        pending_ += objectCount;
        for (std::size_t reads = 0; reads < std::min(objectCount, maxParallelReads); ++reads)
            readNextObject();
        finishSource();
    }

    void readNextObject()
    {
        if (keys_.empty())
            return;
        std::string key = std::move(keys_.back());
        keys_.pop_back();
        auto self = shared_from_this();
        store_.get(key, [self](ResultCode result, const std::string& text) {
            if (result == ResultCode::Ok)
                self->reader_.add(text);
            else
                self->reader_.addUnreadable();
            self->readNextObject();
            self->finishSource();
        });
    }

    void readProcess(const Endpoint& process)
    {
        HttpRequest request;
        request.target = "/v1/timeline";
        auto self = shared_from_this();
        client_.send(
            process, request,
            [self](const HttpResponse& response) {
                if (response.status == 200)
                    self->reader_.add(response.body);
                else
                    self->reader_.addUnreadable();
                self->finishSource();
            },
            [self](const HttpFailure&) {
                self->reader_.addUnreadable();
                self->finishSource();
            });
    }

    void finishSource()
    {
        --pending_;
        if (pending_ == 0)
            done_(reader_);
    }

    ObjectStore& store_;
    HttpClient& client_;
    HybridTime from_;
    TimelineFetcher::Done done_;
    TimelineReader reader_;
    std::vector<std::string> keys_;
    std::size_t pending_ { 0 };
};

}

TimelineFetcher::TimelineFetcher(ObjectStore& store, HttpClient& client)
    : store_(store)
    , client_(client)
{
}

void TimelineFetcher::fetch(HybridTime from, const std::vector<Endpoint>& processes, Done done)
{
    std::make_shared<Fetch>(store_, client_, from, std::move(done))->start(processes);
}

}
