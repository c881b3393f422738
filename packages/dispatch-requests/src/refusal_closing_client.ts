/** A connection to a backend server that carries no request after an error response. */
import {type Socket} from 'node:net';
import {
  Client,
  DecoratorHandler,
  type Dispatcher,
  buildConnector,
} from 'undici';

const MIN_ERROR_STATUS = 300;

/**
 * Closes its connection after each error response. Guards against a late copy of a refusal
 * that counts as the response to the next request: refusals name no request.
 */
export class RefusalClosingClient extends Client {
  private readonly connection: {socket: Socket | null};

  constructor(url: string | URL, options: Client.Options) {
    const connection = {socket: null as Socket | null};
    const connect = buildConnector(
      typeof options.connect === 'object' ? options.connect : {},
    );
    super(url, {
      ...options,
      connect: (terms, callback) =>
        connect(terms, (...result) => {
          connection.socket = result[1];
          callback(...result);
        }),
    });
    this.connection = connection;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const watch = new RefusalWatch(handler, () =>
      this.connection.socket?.destroy(),
    );
    return super.dispatch(options, watch);
  }
}

type Handler = Required<Dispatcher.DispatchHandler>;

/** Passes on a response, and reports when an error response has been read. */
class RefusalWatch implements Dispatcher.DispatchHandler {
  private readonly handler: Dispatcher.DispatchHandler;
  private isRefused = false;

  constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly onRefusalRead: () => void,
  ) {
    this.handler = new DecoratorHandler(handler);
  }

  onRequestStart(...terms: Parameters<Handler['onRequestStart']>): void {
    this.handler.onRequestStart?.(...terms);
  }

  onRequestUpgrade(...terms: Parameters<Handler['onRequestUpgrade']>): void {
    this.handler.onRequestUpgrade?.(...terms);
  }

  onResponseStart(...terms: Parameters<Handler['onResponseStart']>): void {
    const [, statusCode] = terms;
    this.isRefused = statusCode >= MIN_ERROR_STATUS;
    this.handler.onResponseStart?.(...terms);
  }

  onResponseData(...terms: Parameters<Handler['onResponseData']>): void {
    this.handler.onResponseData?.(...terms);
  }

  onResponseEnd(...terms: Parameters<Handler['onResponseEnd']>): void {
    this.handler.onResponseEnd?.(...terms);
    if (this.isRefused) this.onRefusalRead();
  }

  onResponseError(...terms: Parameters<Handler['onResponseError']>): void {
    this.handler.onResponseError?.(...terms);
  }
}
