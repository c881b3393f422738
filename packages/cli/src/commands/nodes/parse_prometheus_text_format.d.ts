/** Types for the used part of the library, which ships none. */
declare module 'parse-prometheus-text-format' {
  interface MetricFamily {
    name: string;
    metrics: Array<{value?: string; labels?: Record<string, string>}>;
  }
  const parsePrometheusTextFormat: (text: string) => MetricFamily[];
  export = parsePrometheusTextFormat;
}
