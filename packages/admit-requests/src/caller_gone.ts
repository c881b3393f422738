/** Says that nobody waits for an answer any more. */
export class CallerGone extends Error {
  constructor() {
    super('The caller has gone.');
  }
}
