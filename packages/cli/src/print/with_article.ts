/** Prefixes a noun with `a` or `an`. */
export function withArticle(noun: string): string {
  return `${/^[aeiou]/.test(noun) ? 'an' : 'a'} ${noun}`;
}
