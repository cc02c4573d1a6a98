/** What the parser says of a mistake, in words for operators. */

import type { IParserErrorMessageProvider, IToken, TokenType } from 'chevrotain'

const described: Readonly<Record<string, string>> = {
  Word: 'a name', String: 'a quoted text', Number: 'a number', Duration: 'a duration as 10m', Comparison: '= or another comparison', EOF: 'the end'
}

function describe (type: TokenType | undefined): string {
  return type === undefined ? 'something else' : described[type.name] ?? type.name.toLowerCase()
}

function found (token: IToken | undefined): string {
  return token === undefined || token.image === '' ? 'the end' : `"${token.image}"`
}

function firstOf (paths: readonly (readonly TokenType[])[]): string {
  return [...new Set(paths.map((path) => describe(path[0])))].join(', ')
}

export const messages: IParserErrorMessageProvider = {
  buildMismatchTokenMessage: ({ expected, actual }) => `expected ${describe(expected)}, found ${found(actual)}`,
  buildNotAllInputParsedMessage: ({ firstRedundant }) => `expected the end, found ${found(firstRedundant)}`,
  buildNoViableAltMessage: ({ expectedPathsPerAlt, actual }) => `expected one of: ${firstOf(expectedPathsPerAlt.flat())}; found ${found(actual[0])}`,
  buildEarlyExitMessage: ({ expectedIterationPaths, actual }) => `expected ${firstOf(expectedIterationPaths)}, found ${found(actual[0])}`
}
