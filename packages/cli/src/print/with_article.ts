/** A noun with `a` or `an`, as it is spoken. */
export function withArticle(noun: string): string {
  return `${/^[aeiou]/.test(noun) ? 'an' : 'a'} ${noun}`;
}
