#include "Transport/Frame.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

using Json = nlohmann::json;

Bytes encodeFrame(const Frame& frame)
{
    Json map;
    map["v"] = protocolVersion;
    map["t"] = frame.type;
    map["h"] = frame.time;
    map["b"] = Json::binary(frame.body);
    return Json::to_cbor(map);
}

Frame decodeFrame(ByteView bytes)
{
    if (bytes.size() > maxFrameBytes)
        throw Error(ResultCode::BadFrame, "frame of " + std::to_string(bytes.size()) + " bytes exceeds " + std::to_string(maxFrameBytes));
    try {
        Json map = Json::from_cbor(bytes.begin(), bytes.end());
        int version = map.at("v").get<int>();
        if (version != protocolVersion)
            throw Error(ResultCode::BadFrame, "frame has protocol version " + std::to_string(version) + ", expected " + std::to_string(protocolVersion));
        Frame frame;
        frame.type = map.at("t").get<std::string>();
        frame.time = map.at("h").get<HybridTime>();
        frame.body = map.at("b").get_binary();
        return frame;
    } catch (const Json::exception& failure) {
        throw Error(ResultCode::BadFrame, std::string("frame can't be decoded: ") + failure.what());
    }
}

}
