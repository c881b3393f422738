/** Lists what a request may be suspected by. */
import {type Suspect, makePartSuspect} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';
import {hashText} from './fingerprint.js';

/** Bounds the evidence that one request can add. */
const MAX_PARTS = 64;
/** Longer ids are hashed, which bounds memory and messages. */
const MAX_ID_CHARS = 32;

/**
 * The parts of the prompt without the last one, which belongs to the request or its
 * session. Their token counts are left out: a part is the same however they are written.
 */
export function listPartSuspects({generation}: CallerRequest): Suspect[] {
  if (!generation) return [];
  const ids = generation.promptParts
    .slice(0, -1)
    .map(({id}) => id.toLowerCase())
    .filter(id => id !== '');
  return [...new Set(ids)]
    .slice(0, MAX_PARTS)
    .map(id => makePartSuspect(shortenId(id)));
}

function shortenId(id: string): string {
  return id.length <= MAX_ID_CHARS ? id : hashText(id).slice(0, MAX_ID_CHARS);
}
