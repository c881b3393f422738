/** An answer that is kept and given again for the same key. */
export interface KeptAnswer {
  statusCode: number;
  contentType: string;
  body: Uint8Array;
}

/** An answer and whether an earlier request with the key got it first. */
export interface KeyedAnswer {
  answer: KeptAnswer;
  isReplay: boolean;
}
