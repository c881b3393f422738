/** The record under which a node registers itself in the store. */
import * as z from 'zod';

export const nodeSchema = z.object({
  nodeName: z.string(),
  incarnation: z.string(),
  /** Address for connections from other nodes, as `host:port`. */
  peerAddress: z.string(),
  /** Address at which callers send requests. */
  callerAddress: z.object({ip: z.string(), port: z.number()}),
  failureDomain: z.string(),
  /** CPU limit of the node, in cores; 0 if unknown. */
  cores: z.number().nonnegative().default(0),
});

/** A registered node. */
export type RegisteredNode = z.infer<typeof nodeSchema>;

export function encodeNode(node: RegisteredNode): Uint8Array {
  return Buffer.from(JSON.stringify(node));
}

/** Decodes a registration record; returns null if the value is malformed. */
export function decodeNode(value: Uint8Array): RegisteredNode | null {
  try {
    return nodeSchema.parse(JSON.parse(Buffer.from(value).toString('utf8')));
  } catch {
    return null;
  }
}
