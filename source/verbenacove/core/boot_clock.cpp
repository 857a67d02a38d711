#include "verbenacove/core/boot_clock.hpp"

#include <ctime>

namespace verbenacove
{

boot_time boot_clock::now() noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return boot_time(std::chrono::seconds(reading.tv_sec) +
                     std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace verbenacove
