/** The caller disconnected before the answer was complete. */
export class CallerGone extends Error {
  constructor() {
    super('The caller has gone.');
  }
}
