// A gateway as the deploy file runs it: `target/bin/toucanstepd direct` as a process of its own, with settings like those of the users'
// pages. Ends only the process that it has started.

#pragma once

#include "toucanstep/base/Endpoint.h"

#include <atomic>
#include <string>
#include <sys/types.h>

namespace toucanstep::review {

// A port on loopback that nobody listens at.
uint16_t freePort();

struct GatewaySettings {
    std::string name = "edge-a-1";
    std::string zone = "a";
    base::Endpoint store;
    bool fencesEnforced = true;
    bool firstStart = true;
    // Of the platform: a process that exceeds it is killed.
    int memoryMegabytes = 260;
    double processorShare = 0.19;
};

class Gateway {
public:
    // `folder` takes the settings file and the log.
    Gateway(std::string folder, GatewaySettings);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    // Returns whether the program could be started.
    bool start();
    void signal(int number) const;
    // SIGKILL, and waits for the end.
    void kill();
    // The memory that it has resident, in bytes; zero if it does not run.
    size_t memory() const;
    // Whether it says so at its readiness address.
    bool ready() const;
    bool awaitReady() const;
    const base::Endpoint& callers() const { return m_callers; }

private:
    std::string m_folder;
    GatewaySettings m_settings;
    base::Endpoint m_callers;
    base::Endpoint m_readiness;
    base::Endpoint m_control;
    uint16_t m_peerPort = 0;
    std::atomic<pid_t> m_process = 0;
};

} // namespace toucanstep::review
