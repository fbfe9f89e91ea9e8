// An upstream of a plain service that reads requests at a given rate and answers once it has read all of one. It listens at loopback.

#pragma once

#include "toucanstep/base/Endpoint.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace toucanstep::review {

class SlowUpstream {
public:
    struct Pace {
        // Of each connection; zero for no bound.
        size_t bytesPerSecond = 0;
        // From the last byte of a request to its answer.
        std::chrono::milliseconds work { 20 };
    };

    // `record` is called with what happens, from threads of the upstream.
    SlowUpstream(std::string id, Pace, std::function<void(const std::string&)> record);
    ~SlowUpstream();
    SlowUpstream(const SlowUpstream&) = delete;
    SlowUpstream& operator=(const SlowUpstream&) = delete;

    // The entry that it writes to the store.
    std::string entry(const std::string& service) const;

private:
    void accept();
    void serve(int connection);

    std::string m_id;
    Pace m_pace;
    std::function<void(const std::string&)> m_record;
    int m_listener = -1;
    base::Endpoint m_endpoint;
    std::atomic<bool> m_ending = false;
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace toucanstep::review
