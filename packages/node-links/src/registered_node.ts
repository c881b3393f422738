/** The record under which a node registers itself in the store. */
import {
  amountSchema,
  hostPortSchema,
  nameSchema,
  parseJsonRecord,
  socketAddressSchema,
} from '@mimosatack/types';
import * as z from 'zod';

export const nodeSchema = z.object({
  nodeName: nameSchema.min(1),
  incarnation: nameSchema.min(1),
  /** Address for connections from other nodes, as `host:port`. */
  peerAddress: hostPortSchema,
  /** Address at which callers send requests. */
  callerAddress: socketAddressSchema,
  failureDomain: nameSchema,
  /** CPU limit of the node, in cores; 0 if unknown. */
  cores: amountSchema.default(0),
});

/** A registered node. */
export type RegisteredNode = z.infer<typeof nodeSchema>;

export function encodeNode(node: RegisteredNode): Uint8Array {
  return Buffer.from(JSON.stringify(node));
}

/** Throws `record-invalid` if the value is not a valid registration record. */
export function decodeNode(value: Uint8Array): RegisteredNode {
  return parseJsonRecord(value, nodeSchema);
}
