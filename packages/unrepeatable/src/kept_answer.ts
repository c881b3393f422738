/** An answer that is stored and returned again for the same key. */
export interface KeptAnswer {
  statusCode: number;
  contentType: string;
  body: Uint8Array;
}

export interface KeyedAnswer {
  answer: KeptAnswer;
  /** Whether the answer comes from an earlier request with the same key. */
  isReplay: boolean;
}
