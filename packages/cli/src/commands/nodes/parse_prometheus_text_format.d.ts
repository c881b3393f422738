/** The part of the library that is used; it brings no types. */
declare module 'parse-prometheus-text-format' {
  interface MetricFamily {
    name: string;
    metrics: Array<{value?: string; labels?: Record<string, string>}>;
  }
  const parsePrometheusTextFormat: (text: string) => MetricFamily[];
  export = parsePrometheusTextFormat;
}
