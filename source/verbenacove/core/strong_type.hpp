#ifndef VERBENACOVE_CORE_STRONG_TYPE_HPP
#define VERBENACOVE_CORE_STRONG_TYPE_HPP

#include <QHash>
#include <QString>

#include <compare>
#include <cstdint>
#include <functional>
#include <utility>

namespace verbenacove
{

/** A value that its tag keeps apart from other values of the same kind.

    Use it for ids and units, so that a zone's name cannot be passed where a
    region's is meant. It is created explicitly and read with `value()`.
*/
template <class Tag, class Value>
class strong_type
{
public:
    /** The type of the value held. */
    using value_type = Value;

    /** Creates the value-initialised id or unit: an empty name, or zero. */
    strong_type() = default;

    /** Creates an id or unit of this value. */
    explicit strong_type(Value value)
        : value_(std::move(value))
    {
    }

    /** Returns the value held. */
    Value const& value() const { return value_; }

    friend bool operator==(strong_type const& a, strong_type const& b)
    {
        return a.value_ == b.value_;
    }

    friend std::strong_ordering operator<=>(strong_type const& a,
                                            strong_type const& b)
    {
        if (a.value_ < b.value_)
        {
            return std::strong_ordering::less;
        }
        return b.value_ < a.value_ ? std::strong_ordering::greater
                                   : std::strong_ordering::equal;
    }

private:
    Value value_{};
};

/** Hashes any id or unit, for QHash. */
template <class Tag, class Value>
size_t qHash(strong_type<Tag, Value> const& id, size_t seed = 0)
{
    return ::qHash(id.value(), seed);
}

} // namespace verbenacove

/** Hashes any id or unit, for the standard containers. */
template <class Tag, class Value>
struct std::hash<verbenacove::strong_type<Tag, Value>>
{
    std::size_t operator()(verbenacove::strong_type<Tag, Value> const& id) const
    {
        return qHash(id);
    }
};

#endif
