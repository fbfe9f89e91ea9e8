// The link of one machine to the platform's store: what comes from the store passes at the link's speed.

#pragma once

#include "Http.h"

namespace review {

class Link {
public:
    Link(Address target, double bytesPerSecond);
    ~Link();
    Address address() const { return m_address; }

private:
    void accept();
    void pass(int from, int to, bool limited);
    // Waits until so many bytes have passed.
    void take(size_t bytes);

    Address m_target;
    double m_bytesPerSecond;
    Address m_address;
    int m_socket = -1;
    std::mutex m_mutex;
    Clock::time_point m_freeFrom;
    std::set<int> m_open;
    std::atomic<bool> m_ended = false;
    std::atomic<int> m_running = 0;
    std::thread m_thread;
};

} // namespace review
