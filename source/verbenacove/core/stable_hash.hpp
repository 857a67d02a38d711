#ifndef VERBENACOVE_CORE_STABLE_HASH_HPP
#define VERBENACOVE_CORE_STABLE_HASH_HPP

#include <QByteArrayView>

namespace verbenacove
{

/** Returns a hash of two texts that is the same in all processes, which Qt's
    hashes need not be: rendezvous hashing compares them across VMs. */
inline quint64 stable_hash(QByteArrayView first, QByteArrayView second)
{
    // FNV-1a, and the finalizer of SplitMix64 to spread the last bytes.
    constexpr quint64 offset = 0xcbf29ce484222325U;
    constexpr quint64 prime = 0x100000001b3U;
    constexpr unsigned char separator = 0xff;
    quint64 hash = offset;
    for (char const byte : first)
    {
        hash = (hash ^ static_cast<unsigned char>(byte)) * prime;
    }
    hash = (hash ^ separator) * prime;
    for (char const byte : second)
    {
        hash = (hash ^ static_cast<unsigned char>(byte)) * prime;
    }
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31);
}

} // namespace verbenacove

#endif
