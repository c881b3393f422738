/** The caller disconnected before the answer was complete. */
export class CallerDisconnectedError extends Error {
  constructor() {
    super('The caller has gone.');
  }
}
