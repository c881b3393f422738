export {type CopyHost} from './origin_copies.js';
export {
  type RecordedVersions,
  type VersionRecord,
  decodeVersionRecord,
  encodeVersionRecord,
} from './version_record.js';
export {type StreamOrigin} from './stream_origin.js';
export {
  type OriginAnswer,
  type OriginSource,
  type StreamKey,
  type StreamQuery,
  StreamOrigins,
  type StreamOriginsOptions,
} from './stream_origins.js';
export {
  type AskStream,
  type StreamReply,
  type StreamsBegun,
  askStreamSchema,
  streamReplySchema,
  streamsBegunSchema,
} from './stream_messages.js';
