export {
  type AgreedRecord,
  type BodyOf,
  DOCUMENT_KINDS,
  type DocumentKind,
  type RecordBody,
  type RecordType,
  type SlotPlan,
  type SlotPurpose,
  agreedRecordSchema,
} from './record_schema.js';
export {measureDepth} from './measure_depth.js';
export {type DecodedRecord, decodeBatch, encodeBatch} from './record_codec.js';
