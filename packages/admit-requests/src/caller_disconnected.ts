/** The caller disconnected before the answer was complete. */
export class CallerDisconnected extends Error {
  constructor() {
    super('The caller has gone.');
  }
}
