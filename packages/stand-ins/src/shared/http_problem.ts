/** Errors that the stand-ins return over HTTP. */

/** An error with its HTTP status and the `kind` in the JSON body. */
export class HttpProblem extends Error {
  constructor(
    readonly status: number,
    readonly kind: string,
    message: string,
    readonly info: Readonly<Record<string, unknown>> = {},
  ) {
    super(message);
  }

  /** The JSON body of the response. */
  toBody(): object {
    const {kind, message, info} = this;
    return {error: {kind, message, info}};
  }
}
