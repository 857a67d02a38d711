#include "verbenacove/process/raft_types.hpp"

#include "verbenacove/core/cbor.hpp"

namespace verbenacove
{

QCborMap to_cbor(raft_entry const& entry)
{
    return {{QLatin1String("i"), entry.index.value()},
            {QLatin1String("t"), entry.term.value()},
            {QLatin1String("k"), static_cast<int>(entry.kind)},
            {QLatin1String("c"), entry.content}};
}

raft_entry entry_from_cbor(QCborMap const& map)
{
    return {log_index(cbor_number(map, "i")), log_term(cbor_number(map, "t")),
            static_cast<raft_entry_kind>(cbor_number(map, "k")),
            cbor_map(map, "c")};
}

QCborMap to_cbor(raft_members const& members)
{
    QCborArray list;
    for (auto const& member : members)
    {
        list.append(
            QCborMap{{QLatin1String("name"), member.name},
                     {QLatin1String("identity"), member.identity.value()},
                     {QLatin1String("address"), member.address.text()}});
    }
    return {{QLatin1String("members"), list}};
}

raft_members members_from_cbor(QCborMap const& map)
{
    raft_members members;
    for (auto const& value : cbor_array(map, "members"))
    {
        auto const member = value.toMap();
        auto const address = parse_socket_address(cbor_text(member, "address"));
        members.push_back({cbor_text(member, "name"),
                           replica_id(cbor_text(member, "identity")),
                           address.value_or(socket_address{})});
    }
    return members;
}

} // namespace verbenacove
